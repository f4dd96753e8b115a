package garnetreel.cli.map;

import garnetreel.cli.lifecycle.ExitCode;
import java.io.IOException;

/** A command that sends one request to the map service and prints its result. */
abstract class SingleRequestCommand extends MapSubcommand {
    /** The request: the words of a command of the map service's protocol. */
    abstract Object[] request();

    @Override
    final int execute(MapClient client) throws IOException {
        mapCommand.print(client.execute(request()));
        return ExitCode.OK;
    }
}
