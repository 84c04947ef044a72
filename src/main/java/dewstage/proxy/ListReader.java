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
 * Makes lists of what a parser says, token by token: nothing of a list is kept but the entry at hand and what
 * the membership does not hold already. Throws IllegalArgumentException where it is no list; what came of it
 * so far is void.
 */
final class ListReader {
    private final Membership membership;
    private final List<String> zones;
    private final List<String> kinds;

    /** The list at hand; null between lists. */
    private Membership.Update update;
    /** The name in front of the value at hand, and how deep we are in a value that is of no use here. */
    private String field;
    private int skipping;
    private Long generation;
    private boolean whole;
    private boolean listed;
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

    /** Is no list begun that has not ended? */
    boolean between() {
        return update == null;
    }

    /** No more comes of a list that has begun; returns what of it counts all the same, null if nothing. */
    Discovery.ListUpdate breakOff(long version) {
        Discovery.ListUpdate leaving = update == null ? null : update.breakOff(version);
        update = null;
        return leaving;
    }

    /** Takes in one token; returns the news if a list ends with it, else null. */
    Discovery.ListUpdate take(JsonParser parser, JsonToken token) throws IOException {
        if (skipping > 0) {
            skipping += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
        } else if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (update == null) {
            begin(token);
        } else if (inEntry) {
            inEntry(parser, token);
        } else if (inInstances) {
            inInstances(token);
        } else if (token == JsonToken.END_OBJECT) {
            return end();
        } else {
            top(parser, token);
        }
        return null;
    }

    private void begin(JsonToken token) {
        if (token != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("no generation or instances");
        }
        update = membership.begin();
        generation = null;
        whole = false;
        listed = false;
    }

    private Discovery.ListUpdate end() {
        if (generation == null || !listed) {
            throw new IllegalArgumentException("no generation or instances");
        }
        Discovery.ListUpdate listUpdate = update.end(generation, whole);
        update = null;
        return listUpdate;
    }

    private void top(JsonParser parser, JsonToken token) throws IOException {
        switch (field) {
            case "generation" -> generation = token.isNumeric() ? version(parser, token) : null;
            case "reset" -> whole = parser.getValueAsBoolean(false);
            case "instances" -> {
                listed = token == JsonToken.START_ARRAY;
                inInstances = listed;
                update = membership.begin(); // named twice, the later one counts
            }
            default -> { }
        }
        skipping = token.isStructStart() && !inInstances ? 1 : 0;
    }

    /** Null for what is no version. */
    private static Long version(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            double d = parser.getDoubleValue();
            return d >= Long.MIN_VALUE && d <= Long.MAX_VALUE ? (long) d : null;
        }
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER ? null : parser.getLongValue();
    }

    private void inInstances(JsonToken token) {
        if (token == JsonToken.END_ARRAY) {
            inInstances = false;
            return;
        }
        if (token != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("an instance with no id or address");
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

    private void inEntry(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.END_OBJECT) {
            inEntry = false;
            endEntry();
            return;
        }
        boolean nested = token.isStructStart();
        skipping = nested ? 1 : 0;
        switch (field) {
            case "instanceId" -> id = nested ? "" : parser.getText();
            case "hostPort" -> hostPort = nested ? "" : parser.getText();
            case "lifecycle" -> lifecycle = nested ? "" : parser.getText();
            case "zone" -> zone = place(zones, nested ? "" : parser.getText());
            case "machineType" -> kind = place(kinds, nested ? "" : parser.getText());
            case "startedAtMs" -> startedAtMs = number(parser, token);
            case "cell" -> cell = (int) number(parser, token);
            case "weight" -> weight = token == JsonToken.VALUE_NULL ? 1 : parser.getValueAsDouble(1);
            default -> { }
        }
    }

    /** A whole number, however it is written; 0 for what is none. */
    private static long number(JsonParser parser, JsonToken token) throws IOException {
        boolean big = token == JsonToken.VALUE_NUMBER_FLOAT || token == JsonToken.VALUE_NUMBER_INT
                && parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER;
        return big ? (long) parser.getDoubleValue() : parser.getValueAsLong(0);
    }

    private void endEntry() {
        State state = switch (lifecycle) {
            case "in_service" -> State.READY;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new IllegalArgumentException("lifecycle \"" + lifecycle + "\"");
        };
        InetSocketAddress address = Config.address(hostPort);
        if (id.isEmpty() || address == null && state != State.GONE) {
            throw new IllegalArgumentException("an instance with no id or address");
        }
        update.add(id, new Member(0, kind, state, TimeUnit.MILLISECONDS.toNanos(Math.max(0, startedAtMs)),
                cell, zone, weight), address);
    }

    /** A name that the settings do not list stands apart from all that they do. */
    private static int place(List<String> names, String name) {
        int i = names.indexOf(name);
        return i < 0 ? names.size() : i;
    }
}
