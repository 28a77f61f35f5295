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
 * A connection that reads input into the thread's buffer and passes the buffer to a subclass for
 * parsing. The connection is closed if reading or parsing fails.
 */
abstract class ParsingConnection extends AbstractConnection implements HttpParser.HttpHandler {
  static final int MAX_HEAD_BYTES = 8 * 1024;

  private final Callback fillable =
      Callback.from(
          Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed);

  ParsingConnection(EndPoint endPoint, Executor executor) {
    super(endPoint, executor);
  }

  /** Requests a call of {@link #onFillable} as soon as there is input. */
  final void awaitInput() {
    fillInterested(fillable);
  }

  /** Handles input; returns false if no more input may be read now. */
  abstract boolean handleInput(ByteBuffer input);

  /** Handles the end of the input, before the connection is closed; the buffer is empty. */
  abstract void endOfInput(ByteBuffer empty);

  @Override
  public void onFillable() {
    ByteBuffer buffer = Buffers.readBuffer();
    int capacity = buffer.capacity();
    int filled = capacity;
    try {
      // If the buffer is not full, the socket has no more input for now.
      while (filled == capacity) {
        buffer.position(0).limit(0);
        filled = getEndPoint().fill(buffer);
        if (filled < 0) {
          endOfInput(buffer);
          close();
          return;
        }
        if (!handleInput(buffer)) {
          break;
        }
      }
    } catch (IOException | RuntimeException e) {
      close();
      return;
    }
    // Registered now, even while an answer is awaited: a later registration wakes the selector.
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
