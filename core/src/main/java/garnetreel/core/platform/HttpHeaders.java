package garnetreel.core.platform;

/** Header field names, paths and the host name of the platform's HTTP protocol. The platform defines the values. */
final class HttpHeaders {
    /** Id of a request; 16 hexadecimal digits. */
    static final String CORRELATION_ID = "X-Correlation-Id";
    /** The client's service plan. */
    static final String PLAN = "Tier";
    /**
     * Key of the data that a request accesses; requests with the same key are executed in order if their request class
     * is ordered.
     */
    static final String REQUEST_KEY = "Piece";
    /** Time until the client's deadline, in seconds. */
    static final String TIME_LEFT = "X-Time-Left";
    /** "1" on a request that the client sends again. */
    static final String RETRY = "X-Repeat";
    /** Describes the data that a request accesses; see {@link RequestMetadata}. */
    static final String METADATA = "IO-Info";
    /** An endpoint's load report; see {@link LoadReport}. */
    static final String LOAD_REPORT = "X-Backend-Load";
    /** "1" on a response whose request was not executed. */
    static final String UNPROCESSED = "X-Unprocessed";
    /** Units that the endpoint served for the volume through other gateways since its last response to this gateway. */
    static final String UNITS_FROM_OTHER_GATEWAYS = "Other-Hosts";
    /** Time after which a rejected client may retry, in seconds with decimals. */
    static final String RETRY_AFTER = "Retry-After";

    /** Value of the {@code Host} header in requests to endpoints and to the discovery service. */
    static final String HOST = "service.internal";
    /** Path of this gateway's readiness check. */
    static final String READINESS_PATH = "/health/ready";
    /** Path of an endpoint's health check, answered with its load report. */
    static final String STATS_PATH = "/stats";
    /** Path of the endpoint list of the discovery service. */
    static final String ENDPOINT_LIST_PATH = "/registry/instances";

    private HttpHeaders() {}
}
