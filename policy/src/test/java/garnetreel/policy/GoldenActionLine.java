package garnetreel.policy;

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
import java.util.Map;

/**
 * Formats an action as a line of the golden streams: time, a word for the kind of action, fields. The words are fixed
 * here and independent of the names of the Java types, so that renaming a type keeps the golden file valid.
 */
final class GoldenActionLine {
    /** Maps the current text of log messages to the text in the recording. */
    private static final Map<String, String> RECORDED_MESSAGES = Map.of(
            "endpoint list: call rejected or subscription lost, retrying after backoff",
            "node list: call refused or subscription broken, asking again");
    /** Prefix of log messages about an endpoint; the next constant is its form in the recording. */
    private static final String ENDPOINT_PREFIX = "endpoint ";

    private static final String RECORDED_ENDPOINT_PREFIX = "node ";
    /** Maps the text after the address, in log messages about an endpoint, to the text in the recording. */
    private static final Map<String, String> RECORDED_ENDPOINT_MESSAGES =
            Map.of("unreachable", "broken off", "reachable again", "answers again");

    private static final String ADDRESS_END = ": ";

    private GoldenActionLine() {}

    static String of(long time, SchedulerAction action) {
        return time + " " + format(action);
    }

    private static String format(SchedulerAction action) {
        if (action instanceof SendAttempt send) {
            return "send " + send.id() + " " + send.endpoint() + " " + send.timeout() + " " + send.startWithin();
        } else if (action instanceof CancelAttempt cancel) {
            return "cancel " + cancel.id() + " " + cancel.attempt();
        } else if (action instanceof RejectRequest reject) {
            return "refuse " + reject.id() + " " + reject.retryAfter();
        } else if (action instanceof FailRequest fail) {
            return "fail " + fail.id();
        } else if (action instanceof SetTimer timer) {
            return "alarm " + timer.name() + " " + timer.after();
        } else if (action instanceof CheckHealth check) {
            return "check " + check.endpoint();
        } else if (action instanceof CloseIdleConnections close) {
            return "close " + close.endpoint();
        } else if (action instanceof SubscribeEndpoints subscribe) {
            return "watch " + (subscribe.active() ? "on" : "off");
        } else if (action instanceof PollEndpoints) {
            return "fetch";
        } else if (action instanceof LogMessage message) {
            return "remark " + recordedText(message.text());
        }
        throw new AssertionError("no text form for " + action);
    }

    /** The text of a log message in the recording; throws for a message that the tables do not contain. */
    private static String recordedText(String text) {
        if (RECORDED_MESSAGES.containsKey(text)) {
            return RECORDED_MESSAGES.get(text);
        }
        int addressEnd = text.lastIndexOf(ADDRESS_END);
        if (!text.startsWith(ENDPOINT_PREFIX) || addressEnd < ENDPOINT_PREFIX.length()) {
            throw new AssertionError("no recorded text for " + text);
        }
        String message = text.substring(addressEnd + ADDRESS_END.length());
        if (!RECORDED_ENDPOINT_MESSAGES.containsKey(message)) {
            throw new AssertionError("no recorded text for " + text);
        }
        String address = text.substring(ENDPOINT_PREFIX.length(), addressEnd);
        return RECORDED_ENDPOINT_PREFIX + address + ADDRESS_END + RECORDED_ENDPOINT_MESSAGES.get(message);
    }
}
