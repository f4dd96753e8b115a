/**
 * HTTP/1.1: parsers of requests and responses, and a writer. The HTTP platform is the environment in which the gateway
 * of {@code garnetreel.core.platform} runs: its clients, endpoints and discovery service, which use HTTP.
 */
package garnetreel.codec.http;
