package dewstage.faults;

import java.io.IOException;
import java.util.function.IntFunction;

/** What a misbehaving client writes to one connection. */
enum RequestForm {
    /** A request with a large body, in small pieces. */
    SLOW_BODY {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            connection.write(head("POST /pay/1", connection.nextId(), "Content-Length: " + connection.sizeBytes()));
            connection.writeSlowly("x".repeat(connection.sizeBytes()));
            connection.awaitAnswers();
        }
    },
    /** A request that stops half way through its large body. */
    STOPPED_BODY {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            connection.write(head("POST /pay/1", connection.nextId(), "Content-Length: " + connection.sizeBytes())
                    + "x".repeat(connection.sizeBytes() / 2));
            connection.awaitAnswers();
        }
    },
    /** A large body in chunks of one byte, which stops before its end. */
    TINY_CHUNKS {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            connection.write(head("POST /pay/1", connection.nextId(), "Transfer-Encoding: chunked")
                    + "1\r\nx\r\n".repeat(connection.sizeBytes()));
            connection.awaitAnswers();
        }
    },
    /** A whole head of very many short fields. */
    SHORT_FIELDS {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            connection.write(head("GET /look/1", connection.nextId(), shortFields(connection.headBytes())));
            connection.awaitAnswers();
        }
    },
    /** A head of very many short fields that stops before its end. */
    SHORT_FIELDS_STOPPED {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            String head = head("GET /look/1", connection.nextId(), shortFields(connection.headBytes()));
            connection.write(head.substring(0, head.length() - 2));
            connection.awaitAnswers();
        }
    },
    /** A head of very many short fields in small pieces. */
    SHORT_FIELDS_SLOW {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            connection.writeSlowly(head("GET /look/1", connection.nextId(), shortFields(connection.headBytes())));
            connection.awaitAnswers();
        }
    },
    /** Very many short fields behind a chunked body, without an end. */
    SHORT_TRAILERS {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            connection.write(head("POST /pay/1", connection.nextId(), "Transfer-Encoding: chunked") + "0\r\n"
                    + shortFields(connection.headBytes()));
            connection.awaitAnswers();
        }
    },
    /** A head of long lines that stops before its end. */
    LONG_LINES {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            connection.write(head("GET /look/1", connection.nextId(), "a: " + "x".repeat(connection.headBytes())));
            connection.awaitAnswers();
        }
    },
    /** Pipelined requests with large bodies, all answers unread. */
    PIPELINED_UNREAD {
        @Override
        void play(RawConnection connection) throws IOException, InterruptedException {
            for (int i = 0; i < PIPELINED; i++) {
                connection.write(head("POST /pay/1", connection.nextId(), "Content-Length: " + connection.sizeBytes())
                        + "x".repeat(connection.sizeBytes()));
            }
            connection.pause();
        }
    },
    /** Sound small requests with new ids at full speed, several at once. */
    FLOOD_SOUND(id -> head("GET /look/" + id, "0-f" + id, "a: b")),
    /** The same, each with another tenant, class, cookie and header name. */
    FLOOD_NEW_NAMES(id -> head(
            "GET /class" + id + "/1", "0-f" + id, "Tenant: t" + id + "\r\nCookie: sid=" + id + "\r\nX" + id + ": 1")),
    FLOOD_NEW_TENANTS(id -> head("GET /look/1", "0-f" + id, "Tenant: t" + id + "\r\nCookie: sid=" + id)),
    FLOOD_NEW_KEYS(id -> head("POST /order/1", "0-f" + id, "Idempotency-Key: k" + id + "\r\nContent-Length: 0")),
    FLOOD_HEALTH(id -> "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"),
    FLOOD_WITHOUT_ID(id -> "GET /look/1 HTTP/1.1\r\n\r\n"),
    FLOOD_SAME_ID(id -> head("GET /look/1", "0-same", "a: b")),
    FLOOD_NEW_METHODS(id -> head("M" + id + " /look/1", "0-f" + id, "a: b")),
    FLOOD_EXPECT(id -> head("POST /pay/1", "0-f" + id, "Expect: 100-continue\r\nContent-Length: 0")),
    FLOOD_MALFORMED(id -> "rubbish" + id + "\r\n\r\n"),
    FLOOD_EMPTY_LINES(id -> "\r\n"),
    FLOOD_FIELDS(id -> head("GET /look/1", "0-f" + id, shortFields(2000))),
    FLOOD_EXPIRED(
            id -> head("GET /look/1", "0-f" + id, "a: b").replace("Request-Timeout: 0.6", "Request-Timeout: 0.001"));

    private static final int PIPELINED = 14;
    private static final String SHORT_FIELD = "a:\r\n";

    /** One request of a flood by its number; null for the other forms. */
    private final IntFunction<String> floodRequest;

    RequestForm() {
        this(null);
    }

    RequestForm(IntFunction<String> floodRequest) {
        this.floodRequest = floodRequest;
    }

    boolean isFlood() {
        return floodRequest != null;
    }

    /** Writes to the connection until its answer, its end or the end of the run. */
    void play(RawConnection connection) throws IOException, InterruptedException {
        connection.flood(floodRequest);
    }

    private static String head(String target, String id, String fields) {
        return target + " HTTP/1.1\r\nHost: a\r\nRequest-Id: " + id + "\r\nRequest-Timeout: 0.6\r\n" + fields
                + "\r\n\r\n";
    }

    private static String shortFields(int bytes) {
        String fields = SHORT_FIELD.repeat(bytes / SHORT_FIELD.length());
        return fields.substring(0, fields.length() - 2);
    }
}
