package dewstage.scale;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A size to be measured: the numbers of entries in the list, of hollow proxies and of changed entries. */
record Point(int entries, int proxies, int changes) {
    /**
     * Returns points that vary one size at a time. Entries vary with the fewest proxies and changes; proxies
     * and changes vary with the longest list, proxies with the most changes, so that the largest point is
     * included.
     */
    static Set<Point> of(List<Integer> entries, List<Integer> proxies, List<Integer> changes) {
        Set<Point> points = new LinkedHashSet<>();
        entries.forEach(e -> points.add(new Point(e, proxies.get(0), changes.get(0))));
        changes.forEach(c -> points.add(new Point(largest(entries), proxies.get(0), c)));
        proxies.forEach(p -> points.add(new Point(largest(entries), p, largest(changes))));
        return points;
    }

    /** Returns the largest of ascending sizes. */
    static int largest(List<Integer> sizes) {
        return sizes.get(sizes.size() - 1);
    }
}
