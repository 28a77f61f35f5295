package org.eiderstair.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * One read buffer and one write buffer for each thread, so that the hundreds of idle connections
 * hold none. Nothing in them outlives a call.
 */
final class Buffers {
  /** Larger than nearly all messages, which are then read by one system call. */
  private static final int SIZE = 16 * 1024;

  private static final ThreadLocal<ByteBuffer> IN =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(SIZE));
  private static final ThreadLocal<ByteBuffer> OUT =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(SIZE));

  private Buffers() {}

  /** Empty, to be filled by an endpoint. */
  static ByteBuffer in() {
    return empty(IN.get());
  }

  /** Empty, for a message's head. */
  static ByteBuffer out() {
    return empty(OUT.get());
  }

  private static ByteBuffer empty(ByteBuffer buffer) {
    buffer.position(0).limit(0);
    return buffer;
  }

  /**
   * Writes head and body, without waiting if the socket accepts them; {@code callback} completes
   * when all is written.
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
