package dewstage.proxy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Reads JSON, into a tree or token by token. Jackson's parser and nodes do the work; its ObjectMapper is left
 * out, since making one sets up dates, zones and locales, a fifth of a second of a start on half a core. The
 * parser limits depth and lengths.
 */
final class Json {
    /** No text in a list is longer than an address or a name; what is skipped has to be read as well. */
    private static final int LONGEST_TEXT = 64 << 10;
    private static final JsonFactory PARSERS = new JsonFactory();
    private static final JsonFactory LISTS = new JsonFactory().setStreamReadConstraints(
            StreamReadConstraints.builder().maxStringLength(LONGEST_TEXT).build());
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() { }

    static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = PARSERS.createParser(bytes)) {
            parser.nextToken();
            return value(parser);
        }
    }

    /** The object in a file, but for one of its fields. */
    static JsonNode readWithout(String field, Path path) throws IOException {
        try (JsonParser parser = PARSERS.createParser(path.toFile())) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return value(parser);
            }
            ObjectNode object = NODES.objectNode();
            for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                parser.nextToken();
                if (name.equals(field)) {
                    parser.skipChildren();
                } else {
                    object.set(name, value(parser));
                }
            }
            return object;
        }
    }

    /** A parser in front of the value of one field of the object in a file, or at the end. */
    static JsonParser open(String field, Path path) throws IOException {
        JsonParser parser = PARSERS.createParser(path.toFile());
        parser.nextToken();
        for (String name = parser.nextFieldName(); name != null && !name.equals(field);
                name = parser.nextFieldName()) {
            parser.nextToken();
            parser.skipChildren();
        }
        return parser;
    }

    /** The value that begins with the current token; leaves the parser at its last. */
    private static JsonNode value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            return NODES.missingNode();
        }
        switch (token) {
            case START_OBJECT:
                ObjectNode object = NODES.objectNode();
                for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                    parser.nextToken();
                    object.set(name, value(parser));
                }
                return object;
            case START_ARRAY:
                ArrayNode array = NODES.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                return array;
            default:
                return scalar(parser, token);
        }
    }

    private static JsonNode scalar(JsonParser parser, JsonToken token) throws IOException {
        switch (token) {
            case VALUE_STRING:
                return NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? NODES.numberNode(parser.getBigIntegerValue())
                        : NODES.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT:
                return NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE:
            case VALUE_FALSE:
                return NODES.booleanNode(token == JsonToken.VALUE_TRUE);
            default:
                return NODES.nullNode();
        }
    }

    /** Who takes in tokens, each while the parser stands at it. */
    interface Taker {
        void take(JsonParser parser, JsonToken token) throws IOException;
    }

    /** What a parser or reader complains of; its message may run over several lines. */
    static String firstLine(Exception e) {
        return e.getMessage().lines().findFirst().orElse("");
    }

    /** Values that come one after another in pieces, however they are laid out. */
    static final class Stream implements AutoCloseable {
        private final JsonParser parser;
        private final ByteArrayFeeder feeder;

        Stream() throws IOException {
            this.parser = LISTS.createNonBlockingByteArrayParser();
            this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        }

        /** Takes in a piece and hands on the tokens that it makes whole; none once this is closed. */
        void feed(byte[] piece, Taker taker) throws IOException {
            feeder.feedInput(piece, 0, piece.length);
            for (JsonToken t = parser.nextToken(); t != null && t != JsonToken.NOT_AVAILABLE;
                    t = parser.nextToken()) {
                taker.take(parser, t);
            }
        }

        @Override
        public void close() throws IOException {
            parser.close();
        }
    }
}
