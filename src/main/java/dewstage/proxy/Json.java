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
 * Reads JSON into a tree or token by token, with Jackson's parser and nodes but without its ObjectMapper:
 * creating one initializes dates, zones and locales, which takes a fifth of a second of the start on half a
 * core. The parser limits depth and lengths.
 */
final class Json {
    /** Limit for lists, whose strings are addresses and names. It covers skipped values as well. */
    private static final int MAX_STRING_LENGTH = 64 << 10;
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonFactory LIST_FACTORY = new JsonFactory().setStreamReadConstraints(
            StreamReadConstraints.builder().maxStringLength(MAX_STRING_LENGTH).build());
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() { }

    static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.nextToken();
            return value(parser);
        }
    }

    /** Reads the object in a file without one of its fields. */
    static JsonNode readWithout(String field, Path path) throws IOException {
        try (JsonParser parser = FACTORY.createParser(path.toFile())) {
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

    /** Returns a parser positioned before the value of one field of the object in a file, or at the end. */
    static JsonParser openField(String field, Path path) throws IOException {
        JsonParser parser = FACTORY.createParser(path.toFile());
        parser.nextToken();
        for (String name = parser.nextFieldName(); name != null && !name.equals(field);
                name = parser.nextFieldName()) {
            parser.nextToken();
            parser.skipChildren();
        }
        return parser;
    }

    /** Reads the value that begins with the current token; leaves the parser at its last token. */
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

    /** Receives each token while the parser is positioned at it. */
    interface TokenHandler {
        void onToken(JsonParser parser, JsonToken token) throws IOException;
    }

    /** The first line of a message; those of the parser span several lines. */
    static String firstLine(Exception e) {
        return e.getMessage().lines().findFirst().orElse("");
    }

    /** Parses a sequence of values that arrives in pieces, in any layout and split at any byte. */
    static final class TokenStream implements AutoCloseable {
        private final JsonParser parser;
        private final ByteArrayFeeder feeder;

        TokenStream() throws IOException {
            this.parser = LIST_FACTORY.createNonBlockingByteArrayParser();
            this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        }

        /** Parses further bytes and passes on the tokens that they complete; none once this is closed. */
        void feed(byte[] bytes, TokenHandler handler) throws IOException {
            feeder.feedInput(bytes, 0, bytes.length);
            for (JsonToken token = parser.nextToken(); token != null && token != JsonToken.NOT_AVAILABLE;
                    token = parser.nextToken()) {
                handler.onToken(parser, token);
            }
        }

        @Override
        public void close() throws IOException {
            parser.close();
        }
    }
}
