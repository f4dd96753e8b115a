package garnetreel.net;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates XNIO workers, and defines the options of their sockets. */
final class IoWorkers {
    /** Length of the accept queue: connections that are established but not accepted by the process yet. */
    private static final int BACKLOG = 1024;

    /** Options of listeners and connections. */
    static final OptionMap SOCKET_OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG)
            .getMap();

    private IoWorkers() {}

    /**
     * Creates a worker with one I/O thread and daemon threads only.
     *
     * @throws IOException if the selector can't be opened
     */
    static XnioWorker create(String name) throws IOException {
        return Xnio.getInstance("nio", IoWorkers.class.getClassLoader())
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 2)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
    }
}
