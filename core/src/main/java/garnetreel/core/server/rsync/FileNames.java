package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Rsync;

/** Validates and converts path names of clients, so that none can refer to anything outside its module. */
final class FileNames {
    private FileNames() {}

    /** Converts an argument such as {@code module/dir/} to a path within the module; "" is the module's root. */
    static String modulePath(String module, String argument) throws ProtocolException {
        String path = argument.equals(module)
                ? ""
                : argument.startsWith(module + "/") ? argument.substring(module.length() + 1) : argument;
        StringBuilder normalized = new StringBuilder();
        for (String component : path.split("/")) {
            if (component.equals("..")) {
                throw new ProtocolException("the path \"" + argument + "\" leaves its module");
            }
            if (!component.isEmpty() && !component.equals(".")) {
                normalized.append(normalized.isEmpty() ? "" : "/").append(component);
            }
        }
        return normalized.toString();
    }

    /** @throws ProtocolException if a name of a file list is not a normalized relative path */
    static void checkSafe(String name) throws ProtocolException {
        if (name.equals(".")) {
            return;
        }
        if (name.isEmpty()
                || name.length() > Rsync.MAX_NAME_LENGTH
                || name.startsWith("/")
                || name.indexOf('\0') >= 0) {
            throw new ProtocolException("ABORTING due to unsafe pathname from sender: " + printable(name));
        }
        for (String component : name.split("/", -1)) {
            if (component.isEmpty() || component.equals("..") || component.equals(".")) {
                throw new ProtocolException("ABORTING due to unsafe pathname from sender: " + printable(name));
            }
        }
    }

    static String join(String directory, String name) {
        return name.equals(".") ? directory : directory.isEmpty() ? name : directory + "/" + name;
    }

    static String baseName(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }

    static String parent(String path) {
        int slash = path.lastIndexOf('/');
        return slash < 0 ? "" : path.substring(0, slash);
    }

    /** A name as shown in messages: control characters are written as octal numbers. */
    static String printable(String name) {
        StringBuilder text = new StringBuilder();
        for (char c : name.toCharArray()) {
            if (c < ' ' || c == 0x7f) {
                text.append(String.format("\\#%03o", (int) c));
            } else {
                text.append(c);
            }
        }
        return text.toString();
    }
}
