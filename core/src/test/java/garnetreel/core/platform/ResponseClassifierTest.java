package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.codec.http.Fields;
import garnetreel.policy.event.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The outcome of an attempt as determined by its response. */
class ResponseClassifierTest {
    @ParameterizedTest
    @CsvSource({
        "200, result, '', OK",
        "200, result, 1, OK",
        "200, '', '', ERROR",
        "200, '', 1, ERROR",
        "204, '', '', ERROR",
        "500, result, 1, ERROR",
        "503, '', 1, OVERLOADED",
        "503, '', '', ERROR",
        "503, '', 0, ERROR",
        "504, '', 1, NOT_STARTED",
        "504, '', '', ERROR",
    })
    void onlyAResponseMarkedUnprocessedMeansNotExecuted(int status, String body, String unprocessed, Outcome outcome) {
        Fields fields = new Fields();
        if (!unprocessed.isEmpty()) {
            fields.add("X-Unprocessed", unprocessed);
        }
        assertEquals(outcome, ResponseClassifier.outcome(UpstreamTestData.response(status, body, fields)));
    }
}
