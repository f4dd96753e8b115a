package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The options and paths of a transfer, parsed from the arguments that a client passes to the server. An unsupported
 * option is rejected with a message, unless a transfer can do without it; such an option is ignored, also if it is for
 * the server, as {@code --inplace}.
 */
final class TransferOptions {
    /** Options without effect here. No rsync option is called {@code --remove-sent-files-not}. */
    private static final Set<String> IGNORED = Set.of(
            "--partial",
            "--inplace",
            "--ignore-errors",
            "--force",
            "--no-implied-dirs",
            "--delay-updates",
            "--omit-dir-times",
            "--fuzzy",
            "--stats",
            "--progress",
            "--safe-links",
            "--specials",
            "--devices",
            "--no-motd",
            "--old-args",
            "--list-only",
            "--super",
            "--no-W",
            "--no-whole-file",
            "--remove-sent-files-not",
            "--msgs2stderr",
            "--no-msgs2stderr",
            "--fsync");
    /** Starts of options without effect here. No rsync option is called {@code --new-compress-not}. */
    private static final List<String> IGNORED_PREFIXES = List.of(
            "--log-format=",
            "--out-format=",
            "--info=",
            "--debug=",
            "--timeout=",
            "--contimeout=",
            "--bwlimit=",
            "--partial-dir=",
            "--temp-dir=",
            "--modify-window=",
            "--block-size=",
            "--stop-at=",
            "--time-limit=",
            "--compress-level=",
            "--max-alloc=",
            "--compress-choice=none",
            "--new-compress-not",
            "--checksum-choice=md5",
            "--stderr=");

    boolean sender;
    boolean recursive;
    boolean dirs;
    boolean links;
    boolean times;
    boolean perms;
    boolean owner;
    boolean group;
    boolean checksum;
    boolean dryRun;
    boolean ignoreTimes;
    boolean sizeOnly;
    boolean update;
    boolean wholeFile;
    boolean existing;
    boolean ignoreExisting;
    boolean numericIds;
    boolean delete;
    boolean deleteExcluded;
    boolean pruneEmptyDirs;
    int verbose;
    final List<String> paths = new ArrayList<>();

    /** @throws ProtocolException if an option is not supported; the message names it */
    static TransferOptions parse(List<String> arguments) throws ProtocolException {
        TransferOptions options = new TransferOptions();
        boolean optionsEnded = false;
        for (String argument : arguments) {
            if (optionsEnded || !argument.startsWith("-") || argument.equals("-")) {
                optionsEnded = true;
                options.paths.add(argument);
            } else if (argument.startsWith("--")) {
                options.parseLongOption(argument);
            } else {
                options.parseShortOptions(argument);
            }
        }
        // The first argument that is not an option stands for the working directory.
        if (options.paths.isEmpty() || !options.paths.get(0).equals(".")) {
            throw new ProtocolException("arguments without \".\" before the paths");
        }
        options.paths.remove(0);
        return options;
    }

    private void parseLongOption(String argument) throws ProtocolException {
        switch (argument) {
            case "--server", "--daemon" -> {}
            case "--sender" -> sender = true;
            case "--delete", "--delete-before", "--delete-during", "--delete-after", "--delete-delay" -> delete = true;
            case "--delete-excluded" -> {
                delete = true;
                deleteExcluded = true;
            }
            case "--numeric-ids" -> numericIds = true;
            case "--size-only" -> sizeOnly = true;
            case "--existing", "--ignore-non-existing" -> existing = true;
            case "--ignore-existing" -> ignoreExisting = true;
            case "--dirs" -> dirs = true;
            case "--no-r", "--no-recursive" -> recursive = false;
            case "--prune-empty-dirs" -> pruneEmptyDirs = true;
            default -> {
                if (!IGNORED.contains(argument) && IGNORED_PREFIXES.stream().noneMatch(argument::startsWith)) {
                    throw new ProtocolException("the option " + argument + " is not offered here");
                }
            }
        }
    }

    private void parseShortOptions(String argument) throws ProtocolException {
        for (int i = 1; i < argument.length(); i++) {
            switch (argument.charAt(i)) {
                case 'v' -> verbose++;
                case 'r' -> recursive = true;
                case 'd' -> dirs = true;
                case 'l' -> links = true;
                case 't' -> times = true;
                case 'p' -> perms = true;
                case 'o' -> owner = true;
                case 'g' -> group = true;
                case 'c' -> checksum = true;
                case 'n' -> dryRun = true;
                case 'I' -> ignoreTimes = true;
                case 'u' -> update = true;
                case 'W' -> wholeFile = true;
                case 'm' -> pruneEmptyDirs = true;
                case 'D', 'O', 'J', 'S', 'x', 'q', 'E', 'i', 'h', 'P', 'K', 'U', 'N' -> {}
                case 'e' -> {
                    return; // the client's capabilities follow, up to the end of the argument
                }
                case 'z' -> throw new ProtocolException("compression (-z) is not offered here; leave it out");
                case 'H' -> throw new ProtocolException("hard links (-H) are not offered here");
                case 'A', 'X' -> throw new ProtocolException("ACLs and attributes (-A, -X) are not offered here");
                case 'R' -> throw new ProtocolException("relative names (-R) are not offered here");
                case 's' -> throw new ProtocolException("protected arguments (-s) are not offered here");
                default -> throw new ProtocolException("the option -" + argument.charAt(i) + " is not offered here");
            }
        }
    }
}
