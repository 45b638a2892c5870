package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Parses the field lines of a head or a trailer section, up to the empty line that ends them.
 *
 * <p>Not thread-safe. One parser serves the sections of a connection one after another.
 */
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

    /**
     * Parses field lines up to the end of the current section. If the buffer ends first, the next
     * call continues the section; after the end of a section, the next call begins a new one.
     *
     * @param input the received bytes, which are consumed up to the end of the section
     * @return the fields of the complete section, or null if the buffer is used up first
     * @throws HttpProtocolException if a line is not a field line or a limit is exceeded
     */
    Fields next(ByteBuffer input) throws HttpProtocolException {
        while (true) {
            String line =
                    lineReader.next(
                            input, limits.maxFieldBytes(), tooLargeStatus, badMessageStatus);
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
        int valueStart = colon + 1;
        int valueEnd = line.length();
        while (valueStart < valueEnd && HttpCharacters.isSpace(line.charAt(valueStart))) {
            valueStart++;
        }
        while (valueEnd > valueStart && HttpCharacters.isSpace(line.charAt(valueEnd - 1))) {
            valueEnd--;
        }
        String value = line.substring(valueStart, valueEnd);
        if (!HttpCharacters.isFieldValue(value)) {
            throw new HttpProtocolException(badMessageStatus, "control character in a field");
        }
        fields.addParsed(line.substring(0, colon), value);
    }
}
