package org.eiderstair.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * A connection that reads what its endpoint has into the thread's buffer, for a parser of a
 * subclass, and that is closed when reading or parsing fails.
 */
abstract class ParsingConnection extends AbstractConnection implements HttpParser.HttpHandler {
  static final int MAX_HEAD_BYTES = 8 * 1024;

  private final Callback fillable =
      Callback.from(
          Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed);

  ParsingConnection(EndPoint endPoint, Executor executor) {
    super(endPoint, executor);
  }

  /** Has {@link #onFillable} called once there is input. */
  final void awaitInput() {
    fillInterested(fillable);
  }

  /** Handles input; false if no more is to be read now. */
  abstract boolean received(ByteBuffer input);

  /** Called when the other side has ended its output, before the connection is closed. */
  abstract void endOfInput(ByteBuffer empty);

  @Override
  public void onFillable() {
    ByteBuffer buffer = Buffers.in();
    int capacity = buffer.capacity();
    int filled = capacity;
    try {
      // A buffer that is not full means that the socket has no more for now.
      while (filled == capacity) {
        buffer.position(0).limit(0);
        filled = getEndPoint().fill(buffer);
        if (filled < 0) {
          endOfInput(buffer);
          close();
          return;
        }
        if (!received(buffer)) {
          break;
        }
      }
    } catch (IOException | RuntimeException e) {
      close();
      return;
    }
    // Registered now, also while an answer is awaited: doing so later would wake the selector.
    if (getEndPoint().isOpen()) {
      awaitInput();
    }
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    close();
  }

  @Override
  public boolean contentComplete() {
    return false;
  }

  @Override
  public void earlyEOF() {
    close();
  }
}
