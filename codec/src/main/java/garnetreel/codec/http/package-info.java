/** HTTP/1.1: parsers of requests and responses, and a writer. */
package garnetreel.codec.http;
