/**
 * Block requests within a gateway. A client's operation is split at extent boundaries into sub-requests, each of which
 * is scheduled separately, and their results are composed into one reply.
 *
 * <p>{@link garnetreel.core.request.BlockBackend} is what protocol servers call;
 * {@link garnetreel.core.request.RequestRegistry} implements it.
 */
package garnetreel.core.request;
