import java.util.concurrent.atomic.AtomicInteger;

/** Backends give whole answers with no length: the end of the connection ends the body. Half have to be forwarded. */
final class NoLength {
    private static final int REQUESTS = 30;

    private NoLength() { }

    public static void main(String[] args) throws Exception {
        Stage.main(args, NoLength::play);
    }

    private static boolean play(Stage stage) throws Exception {
        AtomicInteger whole = new AtomicInteger();
        Catalog catalog = stage.add(new Catalog(stage, "discovery"));
        for (int i = 0; i < 4; i++) {
            Backend backend = stage.add(new Backend(stage, "backend" + i, (self, request, socket, out) -> {
                Thread.sleep(5);
                String body = "answer to " + request.header("Request-Id");
                if (!Stage.TROUBLE) {
                    out.write(Backend.sound(body));
                    whole.incrementAndGet();
                    return true;
                }
                out.write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body).getBytes());
                socket.shutdownOutput(); // an orderly end, no reset
                whole.incrementAndGet();
                stage.record(self.name + " has sent a whole answer with no length to "
                        + request.header("Request-Id"));
                socket.setSoTimeout(1000);
                while (socket.getInputStream().read() >= 0) { } // until the proxy has closed its side
                return false;
            }));
            catalog.put("s-" + i, backend.address(), "in_service", 0);
        }
        Stage.Proxy proxy = stage.start(new Settings(catalog.address(), catalog.list(0, true)));
        int forwarded = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Client.Answer answer;
            try (Client client = new Client(stage, proxy.port)) {
                String id = "r" + i;
                answer = switch (i % 3) {
                    case 0 -> client.ask("/status", id, 1.2, null, null);
                    case 1 -> client.ask("/fault-log", id, 1.0, "key" + i, "x");
                    default -> client.ask("/dispatch", id, 1.5, null, "x");
                };
            }
            forwarded += answer.status() == 200 && answer.body().equals("answer to " + answer.id()) ? 1 : 0;
            Thread.sleep(200);
        }
        stage.record(whole.get() + " whole answers given by backends, " + forwarded + " forwarded");
        if (whole.get() == 0) {
            throw new IllegalStateException("no request has reached a backend");
        }
        return 2 * forwarded >= whole.get();
    }
}
