package dewstage.scale;

import dewstage.Balancer.Status;
import java.util.List;

/** How synthetic backends respond: by server and attempt number, so that runs are reproducible. */
interface ResponseRule {
    Status statusOf(int server, long attempt);

    ResponseRule SERVED = (server, attempt) -> Status.OK;

    /**
     * One attempt in 25 fails, with each kind of failure in turn: more would exhaust the retry budget, and
     * then the module would no longer scan the servers.
     */
    ResponseRule SOME_FAIL = (server, attempt) -> attempt % 25 != 0 ? Status.OK
            : List.of(Status.ERROR, Status.CONNECT_FAILED, Status.RESET, Status.FULL)
                    .get((int) (attempt / 25 % 4));

    /** One server in ten refuses all connections; detected one by one, these are ejected and on trial. */
    ResponseRule SOME_EJECTED = (server, attempt) ->
            Integer.remainderUnsigned(server, 10) == 0 ? Status.CONNECT_FAILED : Status.OK;
}
