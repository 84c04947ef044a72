import java.io.IOException;

/** A client sends many requests at once on one connection. Each has to get a final answer. */
final class ManyAtOnce {
    private static final int AT_ONCE = Stage.TROUBLE ? 20 : 1;
    private static final int TIMES = 3;
    private static final double TIMEOUT_S = 1.2;

    private ManyAtOnce() { }

    public static void main(String[] args) throws Exception {
        Stage.main(args, ManyAtOnce::play);
    }

    private static boolean play(Stage stage) throws Exception {
        Catalog catalog = stage.add(new Catalog(stage, "discovery"));
        for (int i = 0; i < 4; i++) {
            Backend backend = stage.add(new Backend(stage, "backend" + i, (self, request, socket, out) -> {
                Thread.sleep(5);
                out.write(Backend.sound("answer to " + request.header("Request-Id")));
                return true;
            }));
            catalog.put("s-" + i, backend.address(), "in_service", 0);
        }
        Stage.Proxy proxy = stage.start(new Settings(catalog.address(), catalog.list(0, true)));
        int sent = 0;
        int answered = 0;
        for (int i = 0; i < TIMES; i++) {
            try (Client client = new Client(stage, proxy.port)) {
                // The first request is answered before the others come, so the connection is an ordinary one.
                if (client.ask("/status", "first" + i, TIMEOUT_S, null, null).status() != 200) {
                    throw new IllegalStateException("an ordinary request was not served");
                }
                StringBuilder text = new StringBuilder();
                for (int j = 0; j < AT_ONCE; j++) {
                    text.append(Client.text("/status", "r" + i + "-" + j, TIMEOUT_S, null, null));
                }
                client.write(text.toString());
                sent += AT_ONCE;
                stage.record("client has written " + AT_ONCE + " requests whole, " + text.length() + " bytes");
                answered += readAnswers(stage, client, i);
            }
            Thread.sleep(300);
        }
        stage.record(sent + " requests written whole to an accepted connection, " + answered + " answered");
        return answered == sent;
    }

    private static int readAnswers(Stage stage, Client client, int time) {
        for (int j = 0; j < AT_ONCE; j++) {
            try {
                Client.Answer answer = client.read("r" + time + "-" + j, System.nanoTime(), TIMEOUT_S + 3);
                stage.record("answer " + j + ": " + answer.status() + " " + Stage.shorten(answer.body()));
                if (answer.status() == 0) {
                    return j;
                }
            } catch (IOException e) {
                stage.record("no answer " + j + ": " + e);
                return j;
            }
        }
        return AT_ONCE;
    }
}
