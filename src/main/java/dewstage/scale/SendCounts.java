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
 * Records the sends of all hollow proxies: the time of each send to a recently started server, and the number
 * of sends to the others.
 */
final class SendCounts {
    private final Map<EventLoop, LoopCounts> countsByLoop = new ConcurrentHashMap<>();

    /** The sends of the proxies on one event loop. */
    static final class LoopCounts {
        /** Times of the sends by recently started server, on the clock of System.nanoTime. */
        private final Map<Integer, List<Long>> coldSends = new HashMap<>();
        private long warmSends;

        /** Registers the members that have a start time; sends to the others are only counted. */
        void listReceived(List<Member> members) {
            members.stream().filter(m -> m.bootNs() > 0)
                    .forEach(m -> coldSends.computeIfAbsent(m.id(), id -> new ArrayList<>()));
        }

        void add(int server, long nowNs) {
            List<Long> times = coldSends.get(server);
            if (times != null) {
                times.add(nowNs);
            } else {
                warmSends++;
            }
        }
    }

    LoopCounts of(EventLoop loop) {
        return countsByLoop.computeIfAbsent(loop, l -> new LoopCounts());
    }

    /** Returns the sorted send times of each recently started server; call after counting has stopped. */
    List<long[]> coldSends() {
        Set<Integer> ids = new TreeSet<>();
        countsByLoop.values().forEach(counts -> ids.addAll(counts.coldSends.keySet()));
        List<long[]> timesByServer = new ArrayList<>();
        for (int id : ids) {
            long[] times = countsByLoop.values().stream()
                    .flatMap(counts -> counts.coldSends.getOrDefault(id, List.of()).stream())
                    .mapToLong(Long::longValue).toArray();
            Arrays.sort(times);
            timesByServer.add(times);
        }
        return timesByServer;
    }

    /** Returns the number of sends to servers that have not started recently. */
    long warmSends() {
        return countsByLoop.values().stream().mapToLong(counts -> counts.warmSends).sum();
    }

    /** Returns the maximum number of sorted times within any span of the given length. */
    static int maxWithin(long[] times, long spanNs) {
        int maxCount = 0;
        int first = 0;
        for (int i = 0; i < times.length; i++) {
            while (times[i] - times[first] > spanNs) {
                first++;
            }
            maxCount = Math.max(maxCount, i - first + 1);
        }
        return maxCount;
    }
}
