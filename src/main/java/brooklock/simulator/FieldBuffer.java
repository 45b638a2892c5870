package brooklock.simulator;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads the little-endian fields of a sequence of records. Reading beyond the end of the record
 * throws {@link BufferUnderflowException}; the {@code optional} methods return 0 at the end of the
 * record, because senders may omit the last fields.
 */
final class FieldBuffer {
    private final ByteBuffer buffer;

    FieldBuffer(byte[] body) {
        buffer = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Returns the length of all records in bytes. */
    int capacity() {
        return buffer.capacity();
    }

    /** Moves to {@code position} and sets the end of the readable bytes to {@code limit}. */
    void moveTo(int position, int limit) {
        buffer.limit(limit).position(position);
    }

    /** Sets the end of the readable bytes to the end of the present record. */
    void limit(int limit) {
        buffer.limit(limit);
    }

    int remaining() {
        return buffer.remaining();
    }

    int readByte() {
        return buffer.get() & 0xff;
    }

    int readShort() {
        return buffer.getShort() & 0xffff;
    }

    int readInt() {
        return buffer.getInt();
    }

    long readUnsignedInt() {
        return buffer.getInt() & 0xffffffffL;
    }

    long readLong() {
        return buffer.getLong();
    }

    float readFloat() {
        return buffer.getFloat();
    }

    byte[] readBytes(int count) {
        if (count < 0 || count > buffer.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[count];
        buffer.get(bytes);
        return bytes;
    }

    int optionalByte() {
        return buffer.hasRemaining() ? readByte() : 0;
    }

    int optionalShort() {
        return buffer.hasRemaining() ? readShort() : 0;
    }

    int optionalInt() {
        return buffer.hasRemaining() ? readInt() : 0;
    }

    long optionalUnsignedInt() {
        return buffer.hasRemaining() ? readUnsignedInt() : 0;
    }

    long optionalLong() {
        return buffer.hasRemaining() ? readLong() : 0;
    }

    float optionalFloat() {
        return buffer.hasRemaining() ? readFloat() : 0;
    }
}
