package dewstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that all proxies together do not overload a cold server: its load is the sum of what each of them
 * sends. In any window of fallNs a server with a budget of N requests receives at most N + 2 * sqrt(N) + 2.
 */
class ColdFleetTest {
    private static final int SEEDS = 3;

    /** One server, a third of the servers or all of them start, with or without a restart of all proxies. */
    @ParameterizedTest
    @CsvSource({
        "20, 40, 8, 0.12, 0.9", "30, 60, 8, 0.31, 0.9", "30, 6, 8, 0.12, 1.5",
        "30, 60, 60, 0.12, 0.5", "100, 6, 8, 0.12, 1.5",
        "100, 200, 8, 0.12, 0.9", "100, 25, 8, 0.12, 1.5", "100, 25, 60, 0.31, 0.9", "100, 25, 3, 0.12, 1.5"})
    void allProxiesTogetherStayWithinTheBudgetOfAColdServer(int proxies, int servers,
            double requestsPerSecond, double startCapacity, double load) {
        FleetRig.Deployment deployment = new FleetRig.Deployment(proxies, servers, requestsPerSecond, load,
                startCapacity, 9e9, 3, 2e9);
        for (int seed = 0; seed < SEEDS; seed++) {
            for (int firstStarted : new int[] {servers - 1, servers * 2 / 3, 0}) {
                for (boolean restartProxies : new boolean[] {false, true}) {
                    FleetRig fleet = new FleetRig(deployment, seed);
                    fleet.advance(5);
                    fleet.startServers(firstStarted, servers);
                    if (restartProxies) {
                        fleet.restartProxies();
                    }
                    fleet.advance(6);
                    double budgetFraction = fleet.maxBudgetFraction(servers - 1);
                    assertTrue(budgetFraction <= 1, "sent " + budgetFraction + " of the budget, seed " + seed
                            + ", from " + firstStarted + ", restart " + restartProxies);
                }
            }
        }
    }
}
