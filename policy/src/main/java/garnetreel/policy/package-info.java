/**
 * The scheduler of a gateway, without I/O, clock or threads.
 *
 * <p>Programs that embed the scheduler use {@link garnetreel.policy.Scheduler},
 * {@link garnetreel.policy.FairQueueScheduler} and the packages {@code event}, {@code action} and {@code config}. The
 * other packages implement its parts. Their types are public only for this package, which coordinates them, and may
 * change at any time.
 */
package garnetreel.policy;
