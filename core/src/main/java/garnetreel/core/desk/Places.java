package garnetreel.core.desk;

import garnetreel.core.Layout;
import garnetreel.core.Volume;

/** Where extents are, as this head knows it now. */
public interface Places {
    Layout.Place at(Volume volume, long offset);

    /** A node answered that the version it was asked by is not the one it serves: what is known here is old. */
    void stale();

    /** Volumes stay under their first rule. */
    static Places fixed() {
        return new Places() {
            @Override
            public Layout.Place at(Volume volume, long offset) {
                return volume.layout().at(offset);
            }

            @Override
            public void stale() {
                // There is no map that could be asked.
            }
        };
    }
}
