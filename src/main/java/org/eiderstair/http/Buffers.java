package org.eiderstair.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Provides a read buffer and a write buffer for each thread, so that hundreds of idle connections
 * hold no buffers. The contents are valid only during a call.
 */
final class Buffers {
  /** Larger than nearly all messages, so that a message is read by one system call. */
  private static final int SIZE_BYTES = 16 * 1024;

  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(SIZE_BYTES));
  private static final ThreadLocal<ByteBuffer> WRITE_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(SIZE_BYTES));

  private Buffers() {}

  /** Returns this thread's read buffer, empty, to be filled by an endpoint. */
  static ByteBuffer readBuffer() {
    return empty(READ_BUFFER.get());
  }

  /** Returns this thread's write buffer, empty, for a message's head. */
  static ByteBuffer writeBuffer() {
    return empty(WRITE_BUFFER.get());
  }

  private static ByteBuffer empty(ByteBuffer buffer) {
    buffer.position(0).limit(0);
    return buffer;
  }

  /**
   * Writes head and body, at once if the socket accepts them. The callback completes when all bytes
   * are written.
   */
  static void write(EndPoint endPoint, ByteBuffer head, byte[] body, Callback callback) {
    ByteBuffer remainder = null;
    try {
      if (body.length <= head.capacity() - head.limit()) {
        BufferUtil.append(head, body, 0, body.length);
        if (!endPoint.flush(head)) {
          remainder = copy(head);
        }
      } else {
        ByteBuffer content = ByteBuffer.wrap(body);
        if (!endPoint.flush(head)) {
          remainder =
              ByteBuffer.allocate(head.remaining() + body.length).put(head).put(content).flip();
        } else if (!endPoint.flush(content)) {
          remainder = content;
        }
      }
    } catch (IOException e) {
      callback.failed(e);
      return;
    }
    if (remainder == null) {
      callback.succeeded();
    } else {
      endPoint.write(callback, remainder);
    }
  }

  private static ByteBuffer copy(ByteBuffer head) {
    return ByteBuffer.allocate(head.remaining()).put(head).flip();
  }
}
