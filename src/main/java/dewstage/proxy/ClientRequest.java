package dewstage.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.math.BigDecimal;
import java.util.List;

/** A complete request of a client, as received. */
record ClientRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
    /**
     * Headers that are forwarded to a backend, besides those that the proxy sets. A list of headers to copy
     * rather than to drop, since Connection may name any header and the backend needs these.
     */
    private static final List<String> REQUEST_HEADERS = List.of("Host", "Request-Id", "Idempotency-Key",
            "Tenant", "Cookie", "Client-Retry", "Work-Hint", "Request-Info", "Content-Type",
            "Content-Encoding", "Accept", "Accept-Encoding", "Accept-Language", "Authorization",
            "User-Agent");
    /** Headers that are forwarded to a client. */
    private static final List<String> RESPONSE_HEADERS = List.of("Content-Type", "Content-Encoding",
            "Content-Language", "Cache-Control", "Expires", "ETag", "Last-Modified", "Location", "Set-Cookie",
            "Vary", "Retry-After");

    String id() {
        return headers.get("Request-Id");
    }

    static void copyRequestHeaders(HttpHeaders from, HttpHeaders to) {
        copy(REQUEST_HEADERS, from, to);
    }

    static void copyResponseHeaders(HttpHeaders from, HttpHeaders to) {
        copy(RESPONSE_HEADERS, from, to);
    }

    /** Formats a duration for a header, as decimal seconds. */
    static String formatSeconds(long ns) {
        return BigDecimal.valueOf(ns / 1000, 6).toPlainString();
    }

    private static void copy(List<String> names, HttpHeaders from, HttpHeaders to) {
        for (String name : names) {
            List<String> values = from.getAll(name);
            if (!values.isEmpty()) {
                to.set(name, values);
            }
        }
    }
}
