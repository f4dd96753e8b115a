package garnetreel.core.server;

import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdRequestParser.Header;
import garnetreel.core.Volume;
import garnetreel.core.ending.ConnectionEnding;

/** Validates a request against the specification, the export and the payload limit before it is processed. */
final class RequestValidator {
    private final Volume volume;
    private final int maxPayload;
    private final boolean structuredReplies;
    private final boolean allocationContext;

    /** The error reply to an invalid request: the specification's error code and a message. */
    record RequestError(int code, String message) {
        /** The gateway shuts down and runs no further request. */
        static final RequestError SHUTTING_DOWN =
                new RequestError(Nbd.ESHUTDOWN, "this gateway is shutting down; nothing was done");

        private static final RequestError INCOMPLETE =
                new RequestError(Nbd.ENOMEM, "the payload was not sent in time; nothing was done");

        /** The answer to a request of which only a part was received before its connection ends. */
        static RequestError ofPartialRequest(ConnectionEnding cause) {
            return cause == ConnectionEnding.SHUTDOWN ? SHUTTING_DOWN : INCOMPLETE;
        }
    }

    RequestValidator(Volume volume, int maxPayload, OptionHandler negotiated) {
        this(volume, maxPayload, negotiated.structuredReplies(), negotiated.allocationContext());
    }

    RequestValidator(Volume volume, int maxPayload, boolean structuredReplies, boolean allocationContext) {
        this.volume = volume;
        this.maxPayload = maxPayload;
        this.structuredReplies = structuredReplies;
        this.allocationContext = allocationContext;
    }

    /** The error for an invalid request; null if it is valid. */
    RequestError validate(Header header) {
        String message = isKnown(header.type()) ? problem(header) : "unknown request type " + header.type();
        return message == null ? null : new RequestError(code(header), message);
    }

    private static boolean isKnown(int type) {
        return switch (type) {
            case Nbd.CMD_READ,
                    Nbd.CMD_WRITE,
                    Nbd.CMD_TRIM,
                    Nbd.CMD_CACHE,
                    Nbd.CMD_WRITE_ZEROES,
                    Nbd.CMD_BLOCK_STATUS,
                    Nbd.CMD_FLUSH -> true;
            default -> false;
        };
    }

    private int allowedFlags(int type) {
        return Nbd.FLAG_FUA
                | switch (type) {
                    case Nbd.CMD_READ -> structuredReplies ? Nbd.FLAG_DF : 0;
                    case Nbd.CMD_WRITE_ZEROES -> Nbd.FLAG_NO_HOLE;
                    case Nbd.CMD_BLOCK_STATUS -> Nbd.FLAG_REQ_ONE;
                    default -> 0;
                };
    }

    private String problem(Header header) {
        if ((header.flags() & ~allowedFlags(header.type())) != 0) {
            return "flags 0x" + Integer.toHexString(header.flags()) + " are not valid for request type "
                    + header.type();
        }
        if (header.type() == Nbd.CMD_FLUSH) {
            return header.offset() != 0 || header.length() != 0 ? "a flush has neither offset nor length" : null;
        }
        if (header.length() == 0) {
            return "a length of 0";
        }
        if (exceedsVolume(header)) {
            return "offset " + Long.toUnsignedString(header.offset()) + " and length " + header.length()
                    + " pass the end at " + volume.size();
        }
        if (volume.readOnly() && changesData(header)) {
            return "the export is read-only";
        }
        boolean carriesData = header.type() == Nbd.CMD_READ || header.type() == Nbd.CMD_WRITE;
        if (carriesData && header.length() > maxPayload) {
            return "a length of " + header.length() + ", " + maxPayload + " at most";
        }
        boolean hasContext = structuredReplies && allocationContext;
        return header.type() == Nbd.CMD_BLOCK_STATUS && !hasContext ? "no metadata context was negotiated" : null;
    }

    /** The error code for an invalid request, whatever its problem. */
    private int code(Header header) {
        if (!changesData(header)) {
            return Nbd.EINVAL;
        }
        if (volume.readOnly()) {
            return Nbd.EPERM;
        }
        boolean noSpace = header.length() > 0 && header.type() != Nbd.CMD_TRIM && exceedsVolume(header);
        return noSpace ? Nbd.ENOSPC : Nbd.EINVAL;
    }

    private static boolean changesData(Header header) {
        return header.type() == Nbd.CMD_WRITE || header.type() == Nbd.CMD_TRIM || header.type() == Nbd.CMD_WRITE_ZEROES;
    }

    private boolean exceedsVolume(Header header) {
        return header.offset() < 0
                || header.offset() > volume.size()
                || header.length() > volume.size() - header.offset();
    }
}
