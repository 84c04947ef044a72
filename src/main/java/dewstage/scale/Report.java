package dewstage.scale;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The result of an experiment: its parameters, its tables, and remarks on incomplete results. */
final class Report {
    private static final JsonFactory JSON = new JsonFactory();

    private final String experiment;
    private final Map<String, Object> parameters = new LinkedHashMap<>();
    private final List<Table> tables = new ArrayList<>();
    private final List<String> remarks = new ArrayList<>();

    Report(String experiment) {
        this.experiment = experiment;
    }

    Report parameter(String name, Object value) {
        parameters.put(name, value);
        return this;
    }

    Table table(String title, String... columns) {
        Table table = new Table(title, columns);
        tables.add(table);
        return table;
    }

    /** Adds a line that is printed under the tables. */
    void remark(String line) {
        remarks.add(line);
    }

    /**
     * Prints the report and also writes it as JSON if a file is given. If the file is "-", the JSON goes to
     * out and the text to err.
     */
    void write(PrintWriter out, PrintWriter err, String json) throws IOException {
        PrintWriter textOut = "-".equals(json) ? err : out;
        print(textOut);
        if ("-".equals(json)) {
            out.println(json());
            out.flush();
        } else if (json != null) {
            try (OutputStream file = Files.newOutputStream(Path.of(json));
                    JsonGenerator generator = JSON.createGenerator(file, JsonEncoding.UTF8)) {
                write(generator);
            }
        }
    }

    private void print(PrintWriter out) {
        out.println(experiment + " " + parameters);
        tables.forEach(t -> out.print(t.text()));
        remarks.forEach(out::println);
        out.flush();
    }

    String json() throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = JSON.createGenerator(text)) {
            write(generator);
        }
        return text.toString();
    }

    private void write(JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("experiment", experiment);
        generator.writeObjectFieldStart("given");
        for (Map.Entry<String, Object> parameter : parameters.entrySet()) {
            generator.writeFieldName(parameter.getKey());
            writeValue(generator, parameter.getValue());
        }
        generator.writeEndObject();
        generator.writeArrayFieldStart("tables");
        for (Table table : tables) {
            writeTable(generator, table);
        }
        generator.writeEndArray();
        generator.writeArrayFieldStart("remarks");
        for (String line : remarks) {
            generator.writeString(line);
        }
        generator.writeEndArray();
        generator.writeEndObject();
    }

    private static void writeTable(JsonGenerator generator, Table table) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("title", table.title);
        generator.writeArrayFieldStart("rows");
        for (Object[] row : table.rows) {
            generator.writeStartObject();
            for (int column = 0; column < row.length; column++) {
                generator.writeFieldName(table.columns.get(column));
                writeValue(generator, row[column]);
            }
            generator.writeEndObject();
        }
        generator.writeEndArray();
        generator.writeEndObject();
    }

    private static void writeValue(JsonGenerator generator, Object value) throws IOException {
        if (value == null || value instanceof Double d && !Double.isFinite(d)) {
            generator.writeNull(); // JSON cannot represent NaN and infinity
        } else if (value instanceof Double d) {
            generator.writeNumber(d);
        } else if (value instanceof Number n) {
            generator.writeNumber(n.longValue());
        } else if (value instanceof Boolean b) {
            generator.writeBoolean(b);
        } else {
            generator.writeString(value.toString());
        }
    }
}
