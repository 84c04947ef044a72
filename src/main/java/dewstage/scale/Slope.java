package dewstage.scale;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param perUnit increase of y per unit of x
 * @param base y at x = 0
 * @param fit R squared: 1 if all points lie on the line
 */
record Slope(double perUnit, double base, double fit) {
    /** Fits a line to points {x, y}; its values are NaN for fewer than two distinct x. */
    static Slope of(double[][] points) {
        SimpleRegression line = new SimpleRegression();
        line.addData(points);
        return new Slope(line.getSlope(), line.getIntercept(), line.getRSquare());
    }

    double at(double x) {
        return base + perUnit * x;
    }
}
