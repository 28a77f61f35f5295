package org.eiderstair.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * One buffer a thread for reading and one for writing: connections that are quiet hold none, and
 * there are hundreds. Nothing in them outlives a call.
 */
final class Buffers {
  /** Larger than nearly all messages, and one system call's worth. */
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
   * Writes head and body, at once where the socket takes them; {@code after} is told when all is
   * written.
   */
  static void write(EndPoint endPoint, ByteBuffer head, byte[] body, Callback after) {
    ByteBuffer rest = null;
    try {
      if (body.length <= head.capacity() - head.limit()) {
        BufferUtil.append(head, body, 0, body.length);
        if (!endPoint.flush(head)) {
          rest = copy(head);
        }
      } else {
        ByteBuffer content = ByteBuffer.wrap(body);
        if (!endPoint.flush(head)) {
          rest = ByteBuffer.allocate(head.remaining() + body.length).put(head).put(content).flip();
        } else if (!endPoint.flush(content)) {
          rest = content;
        }
      }
    } catch (IOException e) {
      after.failed(e);
      return;
    }
    if (rest == null) {
      after.succeeded();
    } else {
      endPoint.write(after, rest);
    }
  }

  private static ByteBuffer copy(ByteBuffer head) {
    return ByteBuffer.allocate(head.remaining()).put(head).flip();
  }
}
