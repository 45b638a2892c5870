package brooklock.proxy;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes records as text and reads them back: {@code Word(a,b,[c,d],Inner(e))}.
 *
 * <p>The values are those of the record's components in their order, so a component that is added
 * to a record is carried without a change here. The words are those of {@link TraceVocabulary}.
 */
final class TraceCodec {
    private final String text;
    private int position;

    private TraceCodec(String text) {
        this.text = text;
    }

    // ---- Writing

    /** Returns a record as text. */
    static String write(Object value) {
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
                throw new IllegalStateException("cannot read " + components[i], e);
            }
        }
        text.append(')');
    }

    // ---- Reading

    /**
     * Reads a record.
     *
     * @throws IllegalArgumentException if the text is not one record that traces have
     */
    static Object read(String text) {
        TraceCodec codec = new TraceCodec(text);
        int open = text.indexOf('(');
        if (open < 0) {
            throw new TraceFormatException("not a record: " + text);
        }
        Object value = codec.readValue(TraceVocabulary.typeOf(text.substring(0, open)));
        if (codec.position != text.length()) {
            throw new TraceFormatException("more than a record: " + text);
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
        if (!readWord().equals(word)) {
            throw new TraceFormatException("no " + word + " at " + position + " of " + text);
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
            throw new IllegalStateException("cannot make a " + type, e);
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
            throw new TraceFormatException("no '" + expected + "' at " + position + " of " + text);
        }
        position++;
    }
}
