package dewstage.scale;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The latest version of discovery's list and the changes of the most recent versions. Every update is encoded
 * once and shared by all watches that need it. Not thread-safe.
 */
final class ListHistory {
    /** The changed entries of one version. */
    private record Version(List<Backend> changes, ByteBuf encoded) { }

    private final Map<String, Backend> members = new LinkedHashMap<>();
    private final TreeMap<Long, Version> versions = new TreeMap<>();
    /** The encoded changes after a version up to the latest, by that version. */
    private final Map<Long, ByteBuf> mergedChanges = new HashMap<>();
    private long generation = 1;
    private int retainedChanges;
    private ByteBuf fullList;
    private long fullListVersion;

    ListHistory(Iterable<Backend> backends) {
        backends.forEach(b -> members.put(b.id(), b));
    }

    long generation() {
        return generation;
    }

    /** Publishes a new version; drops the oldest changes once they exceed half of the full list. */
    void publish(List<Backend> changes) {
        generation++;
        for (Backend backend : changes) {
            if (backend.isTerminated()) {
                members.remove(backend.id());
            } else {
                members.put(backend.id(), backend);
            }
        }
        versions.put(generation, new Version(changes, ListEncoder.encode(generation, false, changes)));
        retainedChanges += changes.size();
        while (versions.size() > 1 && retainedChanges > members.size() / 2) {
            discard(versions.firstKey());
        }
        discardMerged();
    }

    /** Starts a new version without a history: every watch that is behind gets the full list. */
    void reset() {
        generation++;
        while (!versions.isEmpty()) {
            discard(versions.firstKey());
        }
        discardMerged();
    }

    private void discard(long version) {
        Version discarded = versions.remove(version);
        retainedChanges -= discarded.changes.size();
        discarded.encoded.release();
    }

    private void discardMerged() {
        mergedChanges.values().forEach(ByteBuf::release);
        mergedChanges.clear();
    }

    private boolean hasChangesSince(long version) {
        return version == generation || !versions.isEmpty() && version >= versions.firstKey() - 1
                && version < generation;
    }

    /**
     * Returns the update from a version to a later one. The caller releases the buffer.
     *
     * @param version the version that the watch has; an unknown one, such as -1, results in the full list
     */
    Update updateFrom(long version) {
        if (!hasChangesSince(version)) {
            if (fullList == null || !hasChangesSince(fullListVersion)) {
                if (fullList != null) {
                    fullList.release();
                }
                fullList = ListEncoder.encode(generation, true, members.values());
                fullListVersion = generation;
            }
            return new Update(fullList.retainedDuplicate(), fullListVersion, true);
        }
        if (version == generation - 1) {
            return new Update(versions.lastEntry().getValue().encoded.retainedDuplicate(), generation, false);
        }
        return new Update(mergedChanges.computeIfAbsent(version, this::merge).retainedDuplicate(),
                generation, false);
    }

    private ByteBuf merge(long version) {
        Map<String, Backend> latest = new LinkedHashMap<>();
        versions.tailMap(version, false).values()
                .forEach(v -> v.changes.forEach(b -> latest.put(b.id(), b)));
        return ListEncoder.encode(generation, false, latest.values());
    }

    /** An encoded list, and the version that a watch has after it. */
    record Update(ByteBuf encoded, long version, boolean isFull) { }

    /** Releases the retained buffers; duplicates that are being sent remain valid until released. */
    void close() {
        reset();
        if (fullList != null) {
            fullList.release();
            fullList = null;
        }
    }
}
