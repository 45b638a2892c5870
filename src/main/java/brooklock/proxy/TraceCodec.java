package brooklock.proxy;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes records as text, such as {@code Word(a,b,[c,d],Inner(e))}, and decodes them.
 *
 * <p>The values are the record's components in their order, so a component that is added to a
 * record is encoded without a change here. {@link TraceVocabulary} defines the words. The static
 * methods are thread-safe.
 */
final class TraceCodec {
    private final String text;
    private int position;

    private TraceCodec(String text) {
        this.text = text;
    }

    // ---- Encoding

    /** Encodes a record. */
    static String encode(Object value) {
        StringBuilder text = new StringBuilder(96);
        append(value, text);
        return text.toString();
    }

    private static void append(Object value, StringBuilder text) {
        if (value instanceof Record record) {
            appendRecord(record, text);
        } else if (value instanceof List<?> list) {
            text.append('[');
            for (int i = 0; i < list.size(); i++) {
                text.append(i == 0 ? "" : ",");
                append(list.get(i), text);
            }
            text.append(']');
        } else if (value instanceof Enum<?> constant) {
            text.append(TraceVocabulary.wordOf(constant));
        } else {
            text.append(value);
        }
    }

    private static void appendRecord(Record record, StringBuilder text) {
        text.append(TraceVocabulary.wordOf(record.getClass())).append('(');
        RecordComponent[] components = record.getClass().getRecordComponents();
        for (int i = 0; i < components.length; i++) {
            text.append(i == 0 ? "" : ",");
            try {
                append(components[i].getAccessor().invoke(record), text);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(
                        "cannot read the record component " + components[i], e);
            }
        }
        text.append(')');
    }

    // ---- Decoding

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException if the text is not exactly one record of a type that traces
     *     contain
     */
    static Object decode(String text) {
        TraceCodec codec = new TraceCodec(text);
        int open = text.indexOf('(');
        if (open < 0) {
            throw new TraceFormatException(
                    "expected a record in the form WORD(VALUE,...) but received "
                            + text.length()
                            + " characters without '('");
        }
        Object value = codec.readValue(TraceVocabulary.typeOf(text.substring(0, open)));
        if (codec.position != text.length()) {
            throw new TraceFormatException(
                    "expected the end of the record at offset "
                            + codec.position
                            + " but received "
                            + (text.length() - codec.position)
                            + " more characters");
        }
        return value;
    }

    private Object readValue(Type type) {
        if (type instanceof ParameterizedType list) {
            return readList(list.getActualTypeArguments()[0]);
        }
        Class<?> valueType = (Class<?>) type;
        if (valueType.isRecord()) {
            return readRecord(valueType);
        }
        String word = readWord();
        if (valueType.isEnum()) {
            return TraceVocabulary.constantOf(valueType, word);
        }
        if (valueType == long.class) {
            return Long.parseLong(word);
        }
        if (valueType == int.class || valueType == Integer.class) {
            return Integer.parseInt(word);
        }
        if (valueType == double.class) {
            return Double.parseDouble(word);
        }
        return Boolean.parseBoolean(word);
    }

    private List<Object> readList(Type elementType) {
        List<Object> elements = new ArrayList<>();
        expect('[');
        while (text.charAt(position) != ']') {
            elements.add(readValue(elementType));
            if (text.charAt(position) == ',') {
                position++;
            }
        }
        expect(']');
        return elements;
    }

    private Object readRecord(Class<?> type) {
        String word = TraceVocabulary.wordOf(type);
        String received = readWord();
        if (!received.equals(word)) {
            throw new TraceFormatException(
                    "expected a record that begins with '"
                            + word
                            + "' but received '"
                            + received.substring(0, Math.min(40, received.length()))
                            + "' before offset "
                            + position);
        }
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        expect('(');
        for (int i = 0; i < components.length; i++) {
            if (i > 0) {
                expect(',');
            }
            types[i] = components[i].getType();
            values[i] = readValue(components[i].getGenericType());
        }
        expect(')');
        try {
            return type.getDeclaredConstructor(types).newInstance(values);
        } catch (InvocationTargetException
                | InstantiationException
                | IllegalAccessException
                | NoSuchMethodException e) {
            throw new IllegalStateException("cannot instantiate " + type, e);
        }
    }

    private String readWord() {
        int start = position;
        while (position < text.length() && "(),[]".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        return text.substring(start, position);
    }

    private void expect(char expected) {
        if (position >= text.length() || text.charAt(position) != expected) {
            throw new TraceFormatException(
                    "expected '"
                            + expected
                            + "' at offset "
                            + position
                            + " but received "
                            + (position < text.length()
                                    ? "'" + text.charAt(position) + "'"
                                    : "the end of the text"));
        }
        position++;
    }
}
