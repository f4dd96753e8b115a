/** The rsync daemon protocol: multiplexed frames, file lists, checksums, deltas. */
package garnetreel.codec.rsync;
