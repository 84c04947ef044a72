package dewstage.scale;

import dewstage.Balancer.Member;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the servers that have started lately got from all hollow proxies together, send by send, and how much
 * the others got.
 */
final class SendCounts {
    private final Map<EventLoop, Part> parts = new ConcurrentHashMap<>();

    /** What the proxies of one thread have sent. */
    static final class Part {
        /** When, by server that has started, on the clock of System.nanoTime. */
        private final Map<Integer, List<Long>> cold = new HashMap<>();
        private long warm;

        /** Proxies have heard of these servers; those with no time of a start are not counted one by one. */
        void listReceived(List<Member> members) {
            members.stream().filter(m -> m.bootNs() > 0)
                    .forEach(m -> cold.computeIfAbsent(m.id(), id -> new ArrayList<>()));
        }

        void add(int server, long now) {
            List<Long> times = cold.get(server);
            if (times != null) {
                times.add(now);
            } else {
                warm++;
            }
        }
    }

    Part of(EventLoop loop) {
        return parts.computeIfAbsent(loop, l -> new Part());
    }

    /** For each server that has started, when it got its sends, in order. To be read once all is over. */
    List<long[]> cold() {
        Set<Integer> ids = new TreeSet<>();
        parts.values().forEach(p -> ids.addAll(p.cold.keySet()));
        List<long[]> all = new ArrayList<>();
        for (int id : ids) {
            long[] times = parts.values().stream().flatMap(p -> p.cold.getOrDefault(id, List.of()).stream())
                    .mapToLong(Long::longValue).toArray();
            Arrays.sort(times);
            all.add(times);
        }
        return all;
    }

    /** How many sends went to servers that have not started lately. */
    long warm() {
        return parts.values().stream().mapToLong(p -> p.warm).sum();
    }

    /** The most of some times, in order, that lie within any span of that length. */
    static int most(long[] times, long spanNs) {
        int most = 0;
        int first = 0;
        for (int i = 0; i < times.length; i++) {
            while (times[i] - times[first] > spanNs) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }
}
