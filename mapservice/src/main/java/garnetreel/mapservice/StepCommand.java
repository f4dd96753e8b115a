package garnetreel.mapservice;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Step;
import java.nio.ByteBuffer;

/**
 * A command, without its sequence number yet, to a node.
 *
 * @param extentBytes size of the volume's extents
 * @param version version of the extent that the step refers to
 * @param maxBytes maximum bytes of data in the report
 * @param data pages, for a step that transfers pages to the node
 */
record StepCommand(Step step, long volume, long extent, int extentBytes, long version, int maxBytes, ByteBuffer data) {

    /** A command that polls a node's load. */
    static StepCommand load() {
        return new StepCommand(Step.LOAD, 0, 0, 0, 0, 0, NodeMessage.noData());
    }

    /** A command that polls the extents that a node holds, starting after the given one. */
    static StepCommand listExtents(long volume, long extent, int maxBytes) {
        return new StepCommand(Step.LIST_EXTENTS, volume, extent, 0, 0, maxBytes, NodeMessage.noData());
    }
}
