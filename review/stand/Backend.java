import java.io.IOException;
import java.net.Socket;

/** A backend: serves one request at a time on a connection and records what it got. */
final class Backend {
    /** Answers a request; the first one on a connection has the number 1. */
    interface Service {
        void answer(Socket socket, Stand.Message request, int number) throws Exception;
    }

    /** Called for each request once its last byte has come. */
    interface Observer {
        void onRequest(Backend backend, Stand.Message request);
    }

    final String id;
    final int port;

    Backend(String id, Service service, Observer observer) throws IOException {
        this.id = id;
        this.port = Stand.listen(id, 0, socket -> {
            for (int number = 1;; number++) {
                Stand.Message request = Stand.read(socket.getInputStream());
                if (request.path().equals("/ping") || request.path().equals("/_load")) {
                    Stand.write(socket, Stand.answer("200 OK", "", "util=0.10,eps=0.0"));
                    continue;
                }
                if (request.header("request-id") == null) {
                    Stand.write(socket, Stand.answer("404 Not Found", "", ""));
                    continue;
                }
                observer.onRequest(this, request);
                service.answer(socket, request, number);
            }
        }).getLocalPort();
    }
}
