package garnetreel.files;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes to a region of a module's volume may be sent from now on.
 *
 * @param region number of the region, each of {@link WriteIntents#REGION_BYTES}
 */
public record WriteIntent(String module, long region) {

    static void writeAll(List<WriteIntent> intents, DataOutputStream out) throws IOException {
        out.writeInt(intents.size());
        for (WriteIntent intent : intents) {
            out.writeUTF(intent.module());
            out.writeLong(intent.region());
        }
    }

    /** Reads what {@link #writeAll} wrote; an older version wrote nothing, which counts as none. */
    static List<WriteIntent> readAll(DataInputStream in) throws IOException {
        List<WriteIntent> intents = new ArrayList<>();
        if (in.available() == 0) {
            return intents;
        }
        for (int left = in.readInt(); left > 0; left--) {
            intents.add(new WriteIntent(in.readUTF(), in.readLong()));
        }
        return intents;
    }
}
