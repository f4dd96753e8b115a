/** The NBD protocol: fixed newstyle handshake, requests, simple and structured replies. */
package garnetreel.codec.nbd;
