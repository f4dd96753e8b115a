package garnetreel.benchadapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import garnetreel.policy.action.CancelAttempt;
import garnetreel.policy.action.CheckHealth;
import garnetreel.policy.action.CloseIdleConnections;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.LogMessage;
import garnetreel.policy.action.PollEndpoints;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SetTimer;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.GossipReceived;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.ResponseStreamStarted;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.policy.event.TimerExpired;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Reads scheduler events from the simulator's messages, and writes scheduler actions as such messages. */
final class BenchMessageCodec {
    private static final JsonFactory FACTORY = new JsonFactory();
    /** Outcomes by the simulator's {@code state-code}. */
    private static final Outcome[] OUTCOMES = {
        Outcome.UNKNOWN,
        Outcome.OK,
        Outcome.ERROR,
        Outcome.OVERLOADED,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.RESET,
        Outcome.CANCELLED,
        Outcome.NOT_STARTED
    };

    private BenchMessageCodec() {}

    /** The event in a message, or null if the message contains no scheduler event. */
    static SchedulerEvent readEvent(String message, Json json) throws JsonException {
        return switch (message) {
            case "endpoints" -> readEndpointUpdate(json);
            case "incoming" -> readRequestReceived(json);
            case "flowing" -> new ResponseStreamStarted(
                    json.require("id").integer("id", 0), (int) json.integer("round-no", 0), json.text("shelf", ""));
            case "finished" -> readAttemptCompleted(json);
            case "abandoned" -> new RequestCancelled(json.require("id").integer("id", 0));
            case "timeout-fired" -> new TimerExpired(json.require("ref").text("ref", ""));
            case "pong" -> new HealthCheckCompleted(
                    json.require("shelf").text("shelf", ""),
                    readOutcome(json),
                    json.micros("duration", 0),
                    json.numbers("usage"));
            case "mail" -> new GossipReceived((int) json.integer("who", 0), decodeHex(json.text("data", "")));
            default -> null;
        };
    }

    private static EndpointUpdate readEndpointUpdate(Json json) throws JsonException {
        EndpointUpdateKind kind =
                switch (json.require("kind").text("kind", "")) {
                    case "changes" -> EndpointUpdateKind.DELTA;
                    case "all" -> EndpointUpdateKind.SNAPSHOT;
                    case "remembered" -> EndpointUpdateKind.CACHED;
                    case "refused" -> EndpointUpdateKind.UNAVAILABLE;
                    default -> throw new JsonException("field \"kind\": unknown kind of endpoint update");
                };
        List<EndpointEntry> entries = new ArrayList<>();
        for (Json entry : json.children("entries")) {
            EndpointState state =
                    switch (entry.text("mode", "up")) {
                        case "up" -> EndpointState.UP;
                        case "removed" -> EndpointState.REMOVED;
                        default -> EndpointState.DRAINING; // also for an unknown mode
                    };
            entries.add(new EndpointEntry(
                    entry.require("shelf").text("shelf", ""),
                    entry.text("dc", ""),
                    (int) entry.integer("block", 0),
                    state,
                    entry.number("capacity-hint", 1),
                    entry.micros("start-time", 0)));
        }
        return new EndpointUpdate(kind, entries);
    }

    private static RequestReceived readRequestReceived(Json json) throws JsonException {
        return new RequestReceived(
                json.require("id").integer("id", 0),
                json.require("qos").text("qos", ""),
                json.text("policy-no", ""),
                json.integer("chunk", -1),
                json.require("valid-until").micros("valid-until", 0),
                json.integer("share-id", -1),
                json.number("size-units", 1),
                (int) json.number("shard", 0),
                (int) json.number("writers", 0),
                json.flag("repeat", false),
                json.flag("update", false));
    }

    private static AttemptCompleted readAttemptCompleted(Json json) throws JsonException {
        json.require("state-code");
        return new AttemptCompleted(
                json.require("id").integer("id", 0),
                (int) json.integer("round-no", 0),
                json.text("shelf", ""),
                readOutcome(json),
                json.micros("duration", 0),
                json.flag("done-flag", false),
                json.integer("from-others", 0),
                json.integer("usage", 0),
                json.numbers("load"));
    }

    /** The outcome; {@link Outcome#UNKNOWN} for an unknown code, which does not end the run. */
    private static Outcome readOutcome(Json json) throws JsonException {
        long code = json.integer("state-code", 0);
        return code > 0 && code < OUTCOMES.length ? OUTCOMES[(int) code] : Outcome.UNKNOWN;
    }

    /** The bytes; none for invalid text, which does not end the run. */
    private static byte[] decodeHex(String text) {
        try {
            return HexFormat.of().parseHex(text);
        } catch (IllegalArgumentException e) {
            return new byte[0];
        }
    }

    /** Starts the reply to a batch. */
    static JsonGenerator openReply(ByteArrayOutputStream out) throws IOException {
        return FACTORY.createGenerator(out).setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    /** Writes the action of an instance as one line. */
    static void writeAction(JsonGenerator json, int instance, SchedulerAction action) throws IOException {
        json.writeStartObject();
        json.writeStringField("msg", messageName(action));
        json.writeNumberField("head-id", instance);
        if (action instanceof SendAttempt send) {
            json.writeNumberField("id", send.id());
            json.writeNumberField("timeout", send.timeout() / 1e6);
            json.writeStringField("shelf", send.endpoint());
        } else if (action instanceof CancelAttempt cancel) {
            json.writeNumberField("id", cancel.id());
            json.writeNumberField("round-no", cancel.attempt());
        } else if (action instanceof RejectRequest reject) {
            json.writeNumberField("id", reject.id());
            json.writeNumberField("stay-away", reject.retryAfter() / 1e6);
        } else if (action instanceof FailRequest fail) {
            json.writeNumberField("id", fail.id());
        } else if (action instanceof SetTimer timer) {
            json.writeStringField("ref", timer.name());
            json.writeNumberField("after", timer.after() / 1e6);
        } else if (action instanceof CheckHealth check) {
            json.writeStringField("shelf", check.endpoint());
        } else if (action instanceof CloseIdleConnections close) {
            json.writeStringField("shelf", close.endpoint());
        } else if (action instanceof SubscribeEndpoints subscription) {
            json.writeBooleanField("on", subscription.active());
        } else if (action instanceof LogMessage log) {
            json.writeStringField("text", log.text());
        }
        json.writeEndObject();
    }

    private static String messageName(SchedulerAction action) {
        if (action instanceof SendAttempt) {
            return "place";
        } else if (action instanceof CancelAttempt) {
            return "revoke";
        } else if (action instanceof RejectRequest) {
            return "busy";
        } else if (action instanceof FailRequest) {
            return "lose";
        } else if (action instanceof SetTimer) {
            return "set-timer";
        } else if (action instanceof CheckHealth) {
            return "poll";
        } else if (action instanceof CloseIdleConnections) {
            return "close-idle";
        } else if (action instanceof SubscribeEndpoints) {
            return "track";
        } else if (action instanceof PollEndpoints) {
            return "list-all";
        }
        return "remark";
    }

    /** Completes the reply. */
    static void endReply(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("msg", "eor");
        json.writeEndObject();
        json.writeRaw('\n');
        json.close();
    }

    /** Writes a message that reports an exception thrown by the scheduler of an instance. */
    static void writeFailure(JsonGenerator json, int instance, RuntimeException cause) throws IOException {
        json.writeStartObject();
        json.writeStringField("msg", "exception");
        json.writeNumberField("head-id", instance);
        json.writeStringField(
                "text",
                cause + " at " + (cause.getStackTrace().length > 0 ? cause.getStackTrace()[0] : "an unknown place"));
        json.writeEndObject();
    }
}
