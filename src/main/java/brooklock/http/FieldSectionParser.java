package brooklock.http;

import java.nio.ByteBuffer;

/** Parses the field lines of a head or a trailer section, up to the empty line that ends them. */
final class FieldSectionParser {
    private final HttpLimits limits;
    private final LineReader lineReader;
    private final int badMessageStatus;
    private final int tooLargeStatus;
    private Fields fields = new Fields();
    private int sectionBytes;

    FieldSectionParser(
            HttpLimits limits, LineReader lineReader, int badMessageStatus, int tooLargeStatus) {
        this.limits = limits;
        this.lineReader = lineReader;
        this.badMessageStatus = badMessageStatus;
        this.tooLargeStatus = tooLargeStatus;
    }

    /** All fields once the empty line has arrived, else null; ready for the next section then. */
    Fields next(ByteBuffer in) throws HttpProtocolException {
        while (true) {
            String line =
                    lineReader.next(in, limits.maxFieldBytes(), tooLargeStatus, badMessageStatus);
            if (line == null) {
                return null;
            }
            if (line.isEmpty()) {
                Fields complete = fields;
                fields = new Fields();
                sectionBytes = 0;
                return complete;
            }
            sectionBytes += line.length() + 2;
            if (sectionBytes > limits.maxHeadBytes()) {
                throw new HttpProtocolException(
                        tooLargeStatus, "fields of over " + limits.maxHeadBytes() + " bytes");
            }
            if (fields.size() == limits.maxFieldCount()) {
                throw new HttpProtocolException(
                        tooLargeStatus, "over " + limits.maxFieldCount() + " fields");
            }
            addLine(line);
        }
    }

    private void addLine(String line) throws HttpProtocolException {
        if (HttpCharacters.isSpace(line.charAt(0))) {
            throw new HttpProtocolException(badMessageStatus, "folded field line");
        }
        int colon = line.indexOf(':');
        if (colon < 0 || !HttpCharacters.isToken(line.substring(0, colon))) {
            throw new HttpProtocolException(
                    badMessageStatus, "field line without a name, or with a space in it");
        }
        int from = colon + 1;
        int to = line.length();
        while (from < to && HttpCharacters.isSpace(line.charAt(from))) {
            from++;
        }
        while (to > from && HttpCharacters.isSpace(line.charAt(to - 1))) {
            to--;
        }
        String value = line.substring(from, to);
        if (!HttpCharacters.isFieldValue(value)) {
            throw new HttpProtocolException(badMessageStatus, "control character in a field");
        }
        fields.addParsed(line.substring(0, colon), value);
    }
}
