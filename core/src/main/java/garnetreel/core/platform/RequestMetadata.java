package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;

/**
 * The client's description of the data that its request accesses, read from the header field
 * {@link HttpHeaders#METADATA}.
 *
 * @param volume id of the volume, 16 hexadecimal digits
 * @param units size of the request in units
 * @param shard the shard that holds the data; -1 for new data, which has no shard yet
 * @param gateways number of gateways that receive requests for the volume; 0 if unknown
 */
record RequestMetadata(String volume, int units, int shard, int gateways) {
    /** An id has 64 bits. */
    private static final int ID_DIGITS = 16;

    private static final int HEX_RADIX = 16;
    private static final int ASCII_SIZE = 0x80;
    /** Numbers of units, shards and gateways with more digits are invalid. */
    private static final int MAX_NUMBER_DIGITS = 6;

    private static final int NEW_OBJECT = -1;

    /**
     * Parses a value of the form {@code volume=0123456789abcdef,units=2,shard=5,hosts=3}; unknown names are ignored.
     */
    static RequestMetadata read(String text) throws ProtocolException {
        if (text == null) {
            throw new ProtocolException(HttpHeaders.METADATA + " is missing");
        }
        String volume = null;
        int units = 0;
        int shard = NEW_OBJECT;
        int gateways = 0;
        int partEnd;
        for (int partStart = 0; partStart <= text.length(); partStart = partEnd + 1) {
            int comma = text.indexOf(',', partStart);
            partEnd = comma < 0 ? text.length() : comma;
            String part = text.substring(partStart, partEnd);
            int equals = part.indexOf('=');
            String name = equals < 0 ? "" : part.substring(0, equals).strip();
            String value = part.substring(equals + 1).strip();
            switch (name) {
                case "volume" -> volume = value;
                case "units" -> units = number(value);
                case "shard" -> shard = value.equals("-1") ? NEW_OBJECT : number(value);
                case "hosts" -> gateways = number(value);
                default -> {}
            }
        }
        if (volume == null || !isHexId(volume) || units == 0) {
            throw new ProtocolException(HttpHeaders.METADATA + " lacks a volume or units");
        }
        return new RequestMetadata(volume, units, shard, gateways);
    }

    private static int number(String text) throws ProtocolException {
        long number = DecimalText.parseWhole(text, MAX_NUMBER_DIGITS);
        if (number < 0) {
            throw new ProtocolException(HttpHeaders.METADATA + " holds \"" + text + "\" for a number");
        }
        return (int) number;
    }

    /** Whether a text is a valid id: 16 hexadecimal digits, in upper or lower case. */
    static boolean isHexId(String text) {
        if (text.length() != ID_DIGITS) {
            return false;
        }
        for (int i = 0; i < ID_DIGITS; i++) {
            // Character.digit alone would also accept non-ASCII digits.
            if (text.charAt(i) >= ASCII_SIZE || Character.digit(text.charAt(i), HEX_RADIX) < 0) {
                return false;
            }
        }
        return true;
    }
}
