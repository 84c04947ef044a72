package dewstage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A set of servers sorted by id, with access by rank. The servers are stored in blocks of bounded size, so
 * that an insertion or removal moves at most one block however large the set is; a rank is found by adding up
 * the sizes of the blocks.
 */
final class RankedServers {
    /** A full block is split. Moving this many references is cheaper than scanning more blocks. */
    private static final int BLOCK_SIZE = 256;

    private static final class Block {
        /** The ids in an array of their own: searching the servers would cost a cache miss for each. */
        private final int[] ids = new int[BLOCK_SIZE];
        private final Server[] servers = new Server[BLOCK_SIZE];
        private int size;

        /** Returns the index of an id, or -1 - i if it is absent and i is where it belongs. */
        private int find(int id) {
            return Arrays.binarySearch(ids, 0, size, id);
        }

        private void insert(int index, Server server) {
            System.arraycopy(ids, index, ids, index + 1, size - index);
            System.arraycopy(servers, index, servers, index + 1, size++ - index);
            ids[index] = server.id;
            servers[index] = server;
        }

        private void remove(int index) {
            System.arraycopy(ids, index + 1, ids, index, --size - index);
            System.arraycopy(servers, index + 1, servers, index, size - index);
            servers[size] = null;
        }

        /** Moves the upper half of this block into a new block and returns that. */
        private Block split() {
            Block upper = new Block();
            upper.size = size / 2;
            size -= upper.size;
            System.arraycopy(ids, size, upper.ids, 0, upper.size);
            System.arraycopy(servers, size, upper.servers, 0, upper.size);
            Arrays.fill(servers, size, size + upper.size, null);
            return upper;
        }
    }

    /** In order of ids; no block is empty. */
    private final List<Block> blocks = new ArrayList<>();
    private int size;
    private int version;

    int size() {
        return size;
    }

    /**
     * Returns a number that grows with each change; a rank that was found at another version may be stale.
     */
    int version() {
        return version;
    }

    /** Returns the index of the last block whose first id is not greater than an id, or 0. */
    private int blockIndex(int id) {
        int low = 1;
        int high = blocks.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            boolean isGreater = blocks.get(middle).ids[0] > id;
            low = isGreater ? low : middle + 1;
            high = isGreater ? middle - 1 : high;
        }
        return high < 0 ? 0 : low - 1;
    }

    /** Adds a server whose id must not be in the set yet. */
    void add(Server server) {
        if (blocks.isEmpty()) { blocks.add(new Block()); }
        int index = blockIndex(server.id);
        if (blocks.get(index).size == BLOCK_SIZE) {
            blocks.add(index + 1, blocks.get(index).split());
            index = blockIndex(server.id);
        }
        Block target = blocks.get(index);
        target.insert(-1 - target.find(server.id), server);
        size++;
        version++;
    }

    /** Removes a server, which must be in the set. */
    void remove(Server server) {
        int index = blockIndex(server.id);
        Block source = blocks.get(index);
        source.remove(source.find(server.id));
        if (source.size == 0) { blocks.remove(index); }
        size--;
        version++;
    }

    /** Returns the number of servers with a smaller id than a server of the set. */
    int rank(Server server) {
        int index = blockIndex(server.id);
        int rank = blocks.get(index).find(server.id);
        for (int i = 0; i < index; i++) {
            rank += blocks.get(i).size;
        }
        return rank;
    }

    /** Appends the servers with the ranks from (inclusive) to (exclusive) to a list. */
    void copy(int from, int to, List<Server> target) {
        int firstRank = 0;
        for (int b = 0; b < blocks.size() && firstRank < to; b++) {
            Block block = blocks.get(b);
            for (int i = Math.max(0, from - firstRank); i < Math.min(block.size, to - firstRank); i++) {
                target.add(block.servers[i]);
            }
            firstRank += block.size;
        }
    }
}
