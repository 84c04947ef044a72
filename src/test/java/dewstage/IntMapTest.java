package dewstage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares {@link IntMap} with {@link HashMap} under random operations. */
class IntMapTest {
    @Test
    void randomOperationsGiveTheSameContentsAsAHashMap() {
        IntMap<Integer> map = new IntMap<>();
        Map<Integer, Integer> expected = new HashMap<>();
        Random random = new Random(3);
        for (int i = 0; i < 20_000; i++) {
            int key = random.nextInt(600) * (random.nextBoolean() ? 1 : -7919);
            if (random.nextInt(3) == 0) {
                map.remove(key);
                expected.remove(key);
            } else {
                map.put(key, i);
                expected.put(key, i);
            }
            int lookedUpKey = random.nextInt(600);
            assertEquals(expected.get(lookedUpKey), map.get(lookedUpKey));
        }
        assertEquals(expected.size(), map.size());
        expected.forEach((expectedKey, value) -> assertEquals(value, map.get(expectedKey)));
    }
}
