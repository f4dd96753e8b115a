package garnetreel.codec.rsync;

import java.util.Comparator;

/**
 * One entry of a file list. Names hold one character a byte.
 *
 * @param name relative to the transfer's root, parts separated by slashes; "." is the root itself
 * @param modified seconds of the epoch
 * @param target of a symbolic link; else empty
 * @param sum MD5 of the contents, where the transfer compares by checksum; else null
 */
public record FileItem(String name, int mode, long size, long modified, String target, byte[] sum) {

    /**
     * The order in which both sides number entries: in a directory what is no directory comes first, and a directory is
     * followed by what it holds.
     */
    public static final Comparator<FileItem> ORDER = FileItem::compare;

    public boolean directory() {
        return (mode & Rsync.KIND) == Rsync.DIRECTORY;
    }

    public boolean regular() {
        return (mode & Rsync.KIND) == Rsync.REGULAR;
    }

    public boolean symlink() {
        return (mode & Rsync.KIND) == Rsync.SYMLINK;
    }

    private static int compare(FileItem a, FileItem b) {
        boolean rootA = a.name.equals(".");
        boolean rootB = b.name.equals(".");
        if (rootA || rootB) {
            return rootA == rootB ? 0 : rootA ? -1 : 1;
        }
        int at = 0;
        while (true) {
            int endA = a.name.indexOf('/', at);
            int endB = b.name.indexOf('/', at);
            boolean dirA = endA >= 0 || a.directory();
            boolean dirB = endB >= 0 || b.directory();
            if (dirA != dirB) {
                return dirA ? 1 : -1;
            }
            String partA = a.name.substring(at, endA < 0 ? a.name.length() : endA);
            String partB = b.name.substring(at, endB < 0 ? b.name.length() : endB);
            int by = dirA ? (partA + '/').compareTo(partB + '/') : partA.compareTo(partB);
            if (by != 0) {
                return by;
            }
            if (endA < 0 || endB < 0) {
                return endA < 0 && endB < 0 ? 0 : endA < 0 ? -1 : 1;
            }
            at = endA + 1;
        }
    }
}
