package brooklock.simulator;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads the little-endian fields of one record after another. Reading past the record throws {@link
 * BufferUnderflowException}; the {@code optional} methods read 0 there, since senders may leave off
 * the last fields of a record.
 */
final class FieldBuffer {
    private final ByteBuffer in;

    FieldBuffer(byte[] body) {
        in = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Bytes of all records. */
    int capacity() {
        return in.capacity();
    }

    /** Moves to a field; it and what follows may extend to {@code limit}. */
    void moveTo(int position, int limit) {
        in.limit(limit).position(position);
    }

    /** Sets the end of the record. */
    void limit(int limit) {
        in.limit(limit);
    }

    int remaining() {
        return in.remaining();
    }

    int readByte() {
        return in.get() & 0xff;
    }

    int readShort() {
        return in.getShort() & 0xffff;
    }

    int readInt() {
        return in.getInt();
    }

    long readUnsignedInt() {
        return in.getInt() & 0xffffffffL;
    }

    long readLong() {
        return in.getLong();
    }

    float readFloat() {
        return in.getFloat();
    }

    byte[] readBytes(int count) {
        if (count < 0 || count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[count];
        in.get(bytes);
        return bytes;
    }

    int optionalByte() {
        return in.hasRemaining() ? readByte() : 0;
    }

    int optionalShort() {
        return in.hasRemaining() ? readShort() : 0;
    }

    int optionalInt() {
        return in.hasRemaining() ? readInt() : 0;
    }

    long optionalUnsignedInt() {
        return in.hasRemaining() ? readUnsignedInt() : 0;
    }

    long optionalLong() {
        return in.hasRemaining() ? readLong() : 0;
    }

    float optionalFloat() {
        return in.hasRemaining() ? readFloat() : 0;
    }
}
