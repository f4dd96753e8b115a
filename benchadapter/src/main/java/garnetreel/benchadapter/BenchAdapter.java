package garnetreel.benchadapter;

import garnetreel.settings.JsonException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Command line entry point: {@code simhost} exchanges messages with a simulator on standard input and output. */
public final class BenchAdapter {
    private BenchAdapter() {}

    /**
     * Exits with status 0 at the end of the input, 1 on an I/O error or input that cannot be decoded, 2 on invalid
     * arguments. Some unknown values are replaced instead, see {@link BenchMessageCodec}.
     */
    public static void main(String[] arguments) {
        if (arguments.length != 1 || !arguments[0].equals("simhost")) {
            System.err.println("usage: garnetreel simhost");
            System.exit(2);
        }
        try {
            new InstanceHost(System.in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (JsonException | IOException e) {
            System.err.println("garnetreel: " + e.getMessage());
            System.exit(1);
        }
    }
}
