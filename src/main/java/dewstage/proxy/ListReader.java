package dewstage.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dewstage.Balancer.Member;
import dewstage.Balancer.State;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Builds list updates from JSON tokens, without a tree of the whole list: it keeps only the current entry and
 * what differs from the membership. Throws IllegalArgumentException if the JSON is not a valid list; what was
 * read of that list has no effect.
 */
final class ListReader {
    private final Membership membership;
    private final List<String> zones;
    private final List<String> kinds;

    /** The current list; null between lists. */
    private Membership.Update update;
    /** The name of the current field. */
    private String field;
    /** Nesting depth within a value that is skipped; 0 if none is. */
    private int skipDepth;
    private Long generation;
    private boolean isFullList;
    private boolean hasInstances;
    private boolean inInstances;
    private boolean inEntry;

    private String id;
    private String hostPort;
    private String lifecycle;
    private int zone;
    private int kind;
    private long startedAtMs;
    private int cell;
    private double weight;

    ListReader(Membership membership, Config config) {
        this.membership = membership;
        this.zones = config.zones();
        this.kinds = config.kinds();
    }

    boolean isBetweenLists() {
        return update == null;
    }

    /** Ends a list that was cut off; returns the part of it that applies nevertheless, or null. */
    ListUpdate endTruncated(long version) {
        ListUpdate leaving = update == null ? null : update.endTruncated(version);
        update = null;
        return leaving;
    }

    /** Processes one token; returns the update if the token completes a list, else null. */
    ListUpdate accept(JsonParser parser, JsonToken token) throws IOException {
        if (skipDepth > 0) {
            skipDepth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
        } else if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (update == null) {
            beginList(token);
        } else if (inEntry) {
            readEntryValue(parser, token);
        } else if (inInstances) {
            readInstance(token);
        } else if (token == JsonToken.END_OBJECT) {
            return endList();
        } else {
            readListValue(parser, token);
        }
        return null;
    }

    private void beginList(JsonToken token) {
        if (token != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("a list without generation or instances");
        }
        update = membership.begin();
        generation = null;
        isFullList = false;
        hasInstances = false;
    }

    private ListUpdate endList() {
        if (generation == null || !hasInstances) {
            throw new IllegalArgumentException("a list without generation or instances");
        }
        ListUpdate listUpdate = update.end(generation, isFullList);
        update = null;
        return listUpdate;
    }

    private void readListValue(JsonParser parser, JsonToken token) throws IOException {
        switch (field) {
            case "generation" -> generation = token.isNumeric() ? version(parser, token) : null;
            case "reset" -> isFullList = parser.getValueAsBoolean(false);
            case "instances" -> {
                hasInstances = token == JsonToken.START_ARRAY;
                inInstances = hasInstances;
                update = membership.begin(); // of duplicate fields the last one counts
            }
            default -> { }
        }
        skipDepth = token.isStructStart() && !inInstances ? 1 : 0;
    }

    /** Returns null for a number that does not fit a version. */
    private static Long version(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            double d = parser.getDoubleValue();
            return d >= Long.MIN_VALUE && d <= Long.MAX_VALUE ? (long) d : null;
        }
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER ? null : parser.getLongValue();
    }

    private void readInstance(JsonToken token) {
        if (token == JsonToken.END_ARRAY) {
            inInstances = false;
            return;
        }
        if (token != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("an instance without id or address");
        }
        inEntry = true;
        id = "";
        hostPort = "";
        lifecycle = "";
        zone = zones.size();
        kind = kinds.size();
        startedAtMs = 0;
        cell = 0;
        weight = 1;
    }

    private void readEntryValue(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.END_OBJECT) {
            inEntry = false;
            endEntry();
            return;
        }
        boolean isNested = token.isStructStart();
        skipDepth = isNested ? 1 : 0;
        switch (field) {
            case "instanceId" -> id = isNested ? "" : parser.getText();
            case "hostPort" -> hostPort = isNested ? "" : parser.getText();
            case "lifecycle" -> lifecycle = isNested ? "" : parser.getText();
            case "zone" -> zone = indexOrSize(zones, isNested ? "" : parser.getText());
            case "machineType" -> kind = indexOrSize(kinds, isNested ? "" : parser.getText());
            case "startedAtMs" -> startedAtMs = wholeNumber(parser, token);
            case "cell" -> cell = (int) wholeNumber(parser, token);
            case "weight" -> weight = token == JsonToken.VALUE_NULL ? 1 : parser.getValueAsDouble(1);
            default -> { }
        }
    }

    /** Converts any notation of a number to a whole number; returns 0 for other values. */
    private static long wholeNumber(JsonParser parser, JsonToken token) throws IOException {
        boolean isFloatOrBig = token == JsonToken.VALUE_NUMBER_FLOAT || token == JsonToken.VALUE_NUMBER_INT
                && parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER;
        return isFloatOrBig ? (long) parser.getDoubleValue() : parser.getValueAsLong(0);
    }

    private void endEntry() {
        State state = switch (lifecycle) {
            case "in_service" -> State.READY;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new IllegalArgumentException("unknown lifecycle \"" + lifecycle + "\"");
        };
        InetSocketAddress address = Config.address(hostPort);
        if (id.isEmpty() || address == null && state != State.GONE) {
            throw new IllegalArgumentException("an instance without id or address");
        }
        update.add(id, new Member(0, kind, state, TimeUnit.MILLISECONDS.toNanos(Math.max(0, startedAtMs)),
                cell, zone, weight), address);
    }

    /** All names that are missing from the settings share one index after the last. */
    private static int indexOrSize(List<String> names, String name) {
        int i = names.indexOf(name);
        return i < 0 ? names.size() : i;
    }
}
