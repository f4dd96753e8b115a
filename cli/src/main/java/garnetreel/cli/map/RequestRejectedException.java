package garnetreel.cli.map;

import java.io.IOException;

/** A request that a reachable peer rejected or cannot fulfil; the message gives the reason. */
final class RequestRejectedException extends IOException {
    private static final long serialVersionUID = 1;

    RequestRejectedException(String reason) {
        super(reason);
    }
}
