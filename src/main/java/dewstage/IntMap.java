package dewstage;

import java.util.function.Consumer;

/** A hash map with int keys that are not boxed: open addressing, linear probing, no tombstones on removal. */
public final class IntMap<V> {
    private int[] keys = new int[64];
    private Object[] values = new Object[64];
    private int size;

    /** Returns the index of a key, or that of the free slot where it belongs. */
    private int indexOf(int key) {
        int mask = keys.length - 1;
        int index = (key * 0x9E3779B9 >>> 7) & mask;
        while (values[index] != null && keys[index] != key) {
            index = (index + 1) & mask;
        }
        return index;
    }

    /** Returns the value of a key, or null. */
    @SuppressWarnings("unchecked")
    public V get(int key) {
        return (V) values[indexOf(key)];
    }

    public int size() {
        return size;
    }

    /** Sets the value of a key; null is not allowed. */
    public void put(int key, V value) {
        if (size * 2 >= keys.length) {
            grow();
        }
        int index = indexOf(key);
        if (values[index] == null) {
            size++;
        }
        keys[index] = key;
        values[index] = value;
    }

    public void remove(int key) {
        int index = indexOf(key);
        if (values[index] == null) {
            return;
        }
        int mask = keys.length - 1;
        values[index] = null;
        size--;
        for (int j = (index + 1) & mask; values[j] != null; j = (j + 1) & mask) {
            Object moved = values[j];
            values[j] = null;
            int target = indexOf(keys[j]);
            keys[target] = keys[j];
            values[target] = moved;
        }
    }

    /** Passes each value to an action, in no particular order; the action must not change the map. */
    @SuppressWarnings("unchecked")
    public void forEach(Consumer<V> action) {
        for (Object value : values) {
            if (value != null) {
                action.accept((V) value);
            }
        }
    }

    private void grow() {
        int[] oldKeys = keys;
        Object[] oldValues = values;
        keys = new int[oldKeys.length * 2];
        values = new Object[keys.length];
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldValues[i] != null) {
                int target = indexOf(oldKeys[i]);
                keys[target] = oldKeys[i];
                values[target] = oldValues[i];
            }
        }
    }
}
