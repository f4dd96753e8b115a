package garnetreel.benchadapter;

import garnetreel.settings.JsonException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Command line entry point: {@code simhost} serves the simulator's protocol on standard input and output. */
public final class BenchAdapter {
    private BenchAdapter() {}

    /** Exits with status 0 at the end of valid input, 1 on invalid input or an I/O error, 2 on invalid arguments. */
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
