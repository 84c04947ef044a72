package dewstage.benchlink;

import dewstage.Balancer.Effect;
import dewstage.Balancer.Profile;
import dewstage.Balancer.Scope;
import dewstage.Balancer.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Parses settings that are keyed by path, as in the text of a start event. Unknown keys are ignored. */
public final class ConfigParser {
    private final Map<String, String> values;

    private ConfigParser(Map<String, String> values) {
        this.values = values;
    }

    /** The settings and the names of the load report columns. */
    public record Parsed(Settings settings, String[] reportColumns) {}

    /** Parses lines of the form path=value; lines without a key are ignored. */
    static Parsed parse(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(),
                        line.substring(separator + 1).trim());
            }
        }
        return parse(values);
    }

    /**
     * Parses settings by path.
     *
     * @throws WireException if a required setting is missing or a value is invalid
     */
    public static Parsed parse(Map<String, String> values) {
        ConfigParser parser = new ConfigParser(values);
        List<Profile> profiles = new ArrayList<>();
        long count = parser.integer("profiles.count");
        if (count < 1 || count > 256) {
            throw new WireException("setting profiles.count is " + count + ", not 1 to 256");
        }
        for (int i = 0; i < count; i++) {
            profiles.add(parser.profile("profiles." + i + "."));
        }
        String columns = parser.values.getOrDefault("report.columns", "");
        return new Parsed(parser.settings(profiles), columns.isEmpty() ? new String[0] : columns.split(",", -1));
    }

    private Profile profile(String keyPrefix) {
        Effect effect = enumValue(keyPrefix + "effect", Effect.class, null);
        return new Profile(
                effect,
                enumValue(keyPrefix + "dedup_scope", Scope.class, Scope.ALL),
                effect == Effect.DEDUPLICATED ? integer(keyPrefix + "window_ns") : 0,
                integer(keyPrefix + "promise_ns"),
                integer(keyPrefix + "give_up_ns"),
                number(keyPrefix + "worth"),
                number(keyPrefix + "late_share", 0),
                flag(keyPrefix + "streamed"),
                flag(keyPrefix + "sequential"));
    }

    private Settings settings(List<Profile> profiles) {
        boolean listsOnRequest = "on_request".equals(values.get("discovery"));
        return new Settings(
                (int) integer("me"),
                (int) integer("balancers"),
                (int) integer("zone"),
                profiles,
                listsOnRequest,
                flag("limits.cancelling"),
                (int) integer("limits.max_attempts"),
                flag("limits.retry_after") ? (long) number("limits.max_retry_after_ns", 0) : 0,
                number("rules.start_capacity"),
                integer("rules.cold_ns"),
                number("rules.tip_multiple"),
                integer("rules.fall_ns"),
                listsOnRequest ? integer("rules.ask_within_ns") : 0,
                integer("step_ns"),
                number("prices.cross_zone", 0),
                flag("rules.busy_is_no_proof"),
                integer("rules.turn_gap_ns", 0),
                integer("limits.connect_timeout_ns", 0));
    }

    private String required(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new WireException("setting " + key + " is missing");
        }
        return value;
    }

    private long integer(String key) {
        String value = required(key);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireException("setting " + key + " is not a whole number: " + value);
        }
    }

    private long integer(String key, long defaultValue) {
        return values.containsKey(key) ? integer(key) : defaultValue;
    }

    private double number(String key) {
        String value = required(key);
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, with the same message as an infinite value or NaN
        }
        throw new WireException("setting " + key + " is not a number: " + value);
    }

    private double number(String key, double defaultValue) {
        return values.containsKey(key) ? number(key) : defaultValue;
    }

    private boolean flag(String key) {
        return "true".equals(values.get(key));
    }

    private <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue) {
        String value = defaultValue == null ? required(key) : values.get(key);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new WireException("setting " + key + " has an unknown value: " + value);
        }
    }
}
