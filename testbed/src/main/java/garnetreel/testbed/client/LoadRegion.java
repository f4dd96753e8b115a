package garnetreel.testbed.client;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A region that only one client uses, in slots of the largest request size; a slot has one request at a time. */
final class LoadRegion {
    private static final int DEFAULT_SLOT_BYTES = 4096;

    private final int slotBytes;
    private final List<Long> freeSlots = new ArrayList<>();

    LoadRegion(NbdLoadSettings settings) {
        slotBytes = settings.sizes().stream().mapToInt(Integer::intValue).max().orElse(DEFAULT_SLOT_BYTES);
        long end = settings.offset() + settings.length();
        for (long offset = settings.offset(); offset + slotBytes <= end; offset += slotBytes) {
            freeSlots.add(offset);
        }
    }

    int slotBytes() {
        return slotBytes;
    }

    boolean isFull() {
        return freeSlots.isEmpty();
    }

    /** Takes a random free slot. */
    long take(SplittableRandom random) {
        int index = random.nextInt(freeSlots.size());
        long offset = freeSlots.get(index);
        int last = freeSlots.size() - 1;
        freeSlots.set(index, freeSlots.get(last));
        freeSlots.remove(last);
        return offset;
    }

    /** Takes the slot at an offset; returns false if it is not free. */
    boolean take(long offset) {
        return freeSlots.remove(Long.valueOf(offset));
    }

    void release(long offset) {
        freeSlots.add(offset);
    }
}
