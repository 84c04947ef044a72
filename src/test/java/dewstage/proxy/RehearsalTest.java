package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import dewstage.Balancer;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Status;
import dewstage.Policy;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the warm-up of a proxy. */
@Timeout(60)
class RehearsalTest {
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void requestsAreServedWithoutExternalConnections(String discoveryMode) throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer(); Peer listen = new Peer()) {
            String json = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000).toString()
                    .replace("127.0.0.1:0", listen.hostPort()) // in use, so the rehearsal must not bind it
                    .replace("\"pushed\"", "\"" + discoveryMode + "\"")
                    .replace("\"rules\":{", "\"rules\":{\"ask_within_ns\":10000000000,");
            Config config = Config.parse(new ObjectMapper().readTree(json), Map.of());
            int served = Rehearsal.run(config, Policy::new, 60, 30_000);
            assertTrue(served > 0 && served <= 60, "served " + served);
            assertTrue(discovery.hasNoPendingConnection()
                    && backend.hasNoPendingConnection()
                    && listen.hasNoPendingConnection());
        }
    }

    /** Status FULL is an overload to the module, which would then hold back requests on a slow start. */
    @Test
    void noAnswerHasStatusFull() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            Set<Status> statuses = ConcurrentHashMap.newKeySet();
            Rehearsal.run(Setup.config(discovery, backend), (settings, seed, now, actions) -> {
                Balancer policy = new Policy(settings, seed, now, actions);
                return (Balancer) Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                        new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                            if (method.getName().equals("onOutcome")) {
                                statuses.add(((Outcome) args[1]).status());
                            }
                            return method.invoke(policy, args);
                        });
            }, 150, 30_000);
            assertTrue(statuses.containsAll(Set.of(Status.OK, Status.ERROR)), "statuses " + statuses);
            assertFalse(statuses.contains(Status.FULL), "statuses " + statuses);
        }
    }
}
