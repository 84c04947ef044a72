package dewstage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Servers in the order of their ids, found by rank. In blocks of bounded size: a server that comes or goes
 * moves at most one block, however many there are, and a rank is found by the sizes of the blocks.
 */
final class RankedServers {
    /** A full block is cut in two. Moving so many references costs less than looking through more blocks. */
    private static final int BLOCK = 256;

    private static final class Block {
        /** The ids stand side by side: a search among servers would fetch each from elsewhere in memory. */
        private final int[] ids = new int[BLOCK];
        private final Server[] servers = new Server[BLOCK];
        private int size;

        /** Where an id stands, or, as -1 - i, where it would. */
        private int find(int id) {
            return Arrays.binarySearch(ids, 0, size, id);
        }

        private void insert(int at, Server s) {
            System.arraycopy(ids, at, ids, at + 1, size - at);
            System.arraycopy(servers, at, servers, at + 1, size++ - at);
            ids[at] = s.id;
            servers[at] = s;
        }

        private void remove(int at) {
            System.arraycopy(ids, at + 1, ids, at, --size - at);
            System.arraycopy(servers, at + 1, servers, at, size - at);
            servers[size] = null;
        }

        private Block cut() {
            Block upper = new Block();
            upper.size = size / 2;
            size -= upper.size;
            System.arraycopy(ids, size, upper.ids, 0, upper.size);
            System.arraycopy(servers, size, upper.servers, 0, upper.size);
            Arrays.fill(servers, size, size + upper.size, null);
            return upper;
        }
    }

    /** None is empty. */
    private final List<Block> blocks = new ArrayList<>();
    private int size;
    /** Grows with each change: a rank that was found before may no longer hold. */
    private int changes;

    int size() {
        return size;
    }

    int changes() {
        return changes;
    }

    /** The block in which an id stands or would: the last that does not begin behind it. */
    private int block(int id) {
        int low = 1;
        int high = blocks.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            boolean behind = blocks.get(middle).ids[0] > id;
            low = behind ? low : middle + 1;
            high = behind ? middle - 1 : high;
        }
        return high < 0 ? 0 : low - 1;
    }

    /** Adds one whose id is not there yet. */
    void add(Server s) {
        if (blocks.isEmpty()) { blocks.add(new Block()); }
        int b = block(s.id);
        if (blocks.get(b).size == BLOCK) {
            blocks.add(b + 1, blocks.get(b).cut());
            b = block(s.id);
        }
        Block to = blocks.get(b);
        to.insert(-1 - to.find(s.id), s);
        size++;
        changes++;
    }

    void remove(Server s) {
        int b = block(s.id);
        Block from = blocks.get(b);
        from.remove(from.find(s.id));
        if (from.size == 0) { blocks.remove(b); }
        size--;
        changes++;
    }

    int rank(Server s) {
        int b = block(s.id);
        int rank = blocks.get(b).find(s.id);
        for (int i = 0; i < b; i++) {
            rank += blocks.get(i).size;
        }
        return rank;
    }

    /** Adds those of the ranks from 'from' up to, without it, 'to'. */
    void copy(int from, int to, List<Server> into) {
        int first = 0;
        for (int b = 0; b < blocks.size() && first < to; b++) {
            Block block = blocks.get(b);
            for (int i = Math.max(0, from - first); i < Math.min(block.size, to - first); i++) {
                into.add(block.servers[i]);
            }
            first += block.size;
        }
    }
}
