package brooklock.proxy;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;

/**
 * The records of {@link RouterEvent} as text and back: {@code Name(a,b,[c,d],Inner(e))}. Made from
 * the records themselves, so that a field added there is carried here.
 */
final class TraceCodec {
    private final String text;
    private int at;

    private TraceCodec(String text) {
        this.text = text;
    }

    static String write(Object value) {
        StringBuilder s = new StringBuilder(96);
        write(value, s);
        return s.toString();
    }

    private static void write(Object value, StringBuilder s) {
        if (value instanceof Record r) {
            s.append(TraceVocabulary.wordOf(r.getClass())).append('(');
            RecordComponent[] parts = r.getClass().getRecordComponents();
            for (int i = 0; i < parts.length; i++) {
                s.append(i == 0 ? "" : ",");
                try {
                    write(parts[i].getAccessor().invoke(r), s);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            }
            s.append(')');
        } else if (value instanceof List<?> list) {
            s.append('[');
            for (int i = 0; i < list.size(); i++) {
                s.append(i == 0 ? "" : ",");
                write(list.get(i), s);
            }
            s.append(']');
        } else if (value instanceof Enum<?> e) {
            s.append(TraceVocabulary.wordOf(e));
        } else {
            s.append(value);
        }
    }

    /** Reads a record of {@link RouterEvent}. */
    static Object read(String text) {
        TraceCodec c = new TraceCodec(text);
        int open = text.indexOf('(');
        if (open < 0) {
            throw new IllegalArgumentException("not a record: " + text);
        }
        Object value = c.value(TraceVocabulary.typeOf(text.substring(0, open)));
        if (c.at != text.length()) {
            throw new IllegalArgumentException("more than a record: " + text);
        }
        return value;
    }

    private Object value(Type type) {
        if (type instanceof ParameterizedType list) {
            List<Object> all = new ArrayList<>();
            expect('[');
            while (text.charAt(at) != ']') {
                all.add(value(list.getActualTypeArguments()[0]));
                if (text.charAt(at) == ',') {
                    at++;
                }
            }
            expect(']');
            return all;
        }
        Class<?> c = (Class<?>) type;
        if (c.isRecord()) {
            return record(c);
        }
        String word = word();
        if (c.isEnum()) {
            return TraceVocabulary.constantOf(c, word);
        }
        return c == long.class
                ? (Object) Long.parseLong(word)
                : c == int.class || c == Integer.class
                        ? (Object) Integer.parseInt(word)
                        : c == double.class
                                ? (Object) Double.parseDouble(word)
                                : (Object) Boolean.parseBoolean(word);
    }

    private Object record(Class<?> c) {
        if (!word().equals(TraceVocabulary.wordOf(c))) {
            throw new IllegalArgumentException(
                    "no " + TraceVocabulary.wordOf(c) + " at " + at + " of " + text);
        }
        expect('(');
        RecordComponent[] parts = c.getRecordComponents();
        Object[] values = new Object[parts.length];
        Class<?>[] types = new Class<?>[parts.length];
        for (int i = 0; i < parts.length; i++) {
            if (i > 0) {
                expect(',');
            }
            types[i] = parts[i].getType();
            values[i] = value(parts[i].getGenericType());
        }
        expect(')');
        try {
            Constructor<?> make = c.getDeclaredConstructor(types);
            return make.newInstance(values);
        } catch (InvocationTargetException
                | InstantiationException
                | IllegalAccessException
                | NoSuchMethodException e) {
            throw new IllegalStateException(e);
        }
    }

    private String word() {
        int from = at;
        while (at < text.length() && "(),[]".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        return text.substring(from, at);
    }

    private void expect(char c) {
        if (at >= text.length() || text.charAt(at) != c) {
            throw new IllegalArgumentException("no '" + c + "' at " + at + " of " + text);
        }
        at++;
    }
}
