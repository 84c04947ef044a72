package dewstage.proxy;

import dewstage.Balancer.Effect;
import dewstage.Balancer.Profile;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.List;
import java.util.regex.Pattern;

/** The attributes of a client's request that the module decides by; profile and tenant are indices. */
record RequestMetadata(int profile, int tenant, long key, long timeoutNs, long hintNs, boolean isRetry) {
    /** Maximum valid Request-Timeout; no client waits longer. */
    private static final double MAX_TIMEOUT_S = 3600;
    /** Format of request ids and idempotency keys: printable ASCII, which any backend can parse. */
    private static final Pattern ID_FORMAT = Pattern.compile("[!-~]{1,128}");
    private static final Pattern TARGET_FORMAT = Pattern.compile("/[!-~]*");
    private static final Pattern DECIMAL_FORMAT = Pattern.compile("[0-9]{1,6}(\\.[0-9]{0,12})?");

    /** Returns the error in a request of the given class, or null if the request is valid. */
    static String validationError(ClientRequest request, Profile profile) {
        if (!TARGET_FORMAT.matcher(request.uri()).matches()) {
            return "a target with odd characters";
        }
        if (!hasSingleValue(request, "Request-Id", ID_FORMAT)) {
            return "no Request-Id, or an odd one, or several";
        }
        if (parseTimeoutNs(request) <= 0) {
            return "no sensible Request-Timeout";
        }
        boolean hasIdempotencyKey = request.headers().contains("Idempotency-Key");
        if (hasIdempotencyKey && !hasSingleValue(request, "Idempotency-Key", ID_FORMAT)) {
            return "an odd Idempotency-Key, or several";
        }
        if (profile.effect() == Effect.DEDUPLICATED && !hasIdempotencyKey
                || profile.effect() == Effect.AT_MOST_ONCE && hasIdempotencyKey) {
            return hasIdempotencyKey ? "this class takes no Idempotency-Key" : "no Idempotency-Key";
        }
        return profile.effect() == Effect.IDEMPOTENT && request.body().length > 0 ? "a body" : null;
    }

    private static boolean hasSingleValue(ClientRequest request, String name, Pattern format) {
        List<String> values = request.headers().getAll(name);
        return values.size() == 1 && format.matcher(values.get(0)).matches();
    }

    /** Returns 0 if the timeout is missing or invalid. */
    private static long parseTimeoutNs(ClientRequest request) {
        if (!hasSingleValue(request, "Request-Timeout", DECIMAL_FORMAT)) {
            return 0;
        }
        double timeoutS = Double.parseDouble(request.headers().get("Request-Timeout"));
        return timeoutS > 0 && timeoutS <= MAX_TIMEOUT_S ? (long) (timeoutS * 1e9) : 0;
    }

    static RequestMetadata of(ClientRequest request, int profile, Config config) {
        return new RequestMetadata(profile,
                Math.max(0, config.tenants().indexOf(request.headers().get("Tenant", ""))),
                keyFromCookies(request.headers().get(HttpHeaderNames.COOKIE)), parseTimeoutNs(request),
                parseHintNs(request), "1".equals(request.headers().get("Client-Retry")));
    }

    /** Returns 0 if the hint is missing or invalid: it is advisory, so the request is served without it. */
    private static long parseHintNs(ClientRequest request) {
        return hasSingleValue(request, "Work-Hint", DECIMAL_FORMAT)
                ? (long) (Double.parseDouble(request.headers().get("Work-Hint")) * 1000) : 0;
    }

    /** Hashes the session cookie to the request's key; 0 means that it has none. */
    static long keyFromCookies(String cookies) {
        if (cookies != null) {
            for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
                if (cookie.name().equals("sid")) {
                    long key = Discovery.hash(cookie.value());
                    return key == 0 ? 1 : key;
                }
            }
        }
        return 0;
    }
}
