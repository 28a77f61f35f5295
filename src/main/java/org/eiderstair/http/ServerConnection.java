package org.eiderstair.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/**
 * An inbound connection of a user, a worker or another controller. It handles one request at a
 * time, and dispatches a request once its body is complete.
 *
 * <p>Jetty's parser runs directly on the endpoint. Jetty's own server does much more for each
 * request, which is too much for a controller that has just started on a small machine
 * (docs/operating.md has the figures).
 */
final class ServerConnection extends ParsingConnection implements HttpParser.RequestHandler {
  private enum State {
    /** The connection reads a request. */
    READING,

    /** A request was dispatched or refused, and its answer is awaited; no input is read. */
    ANSWERING,

    /**
     * The last answer was sent. A limited amount of input is discarded, so that the other side can
     * read the answer.
     */
    DRAINING,

    /** The connection is closed. */
    CLOSED
  }

  private static final int MAX_DRAINED_BYTES = 512 * 1024;
  private static final long DRAIN_TIMEOUT_MILLIS = 2000;

  /** Processes complete requests, refuses invalid ones, and limits the memory for their bodies. */
  interface RequestProcessor {
    /** Processes a complete request, and answers it on the connection at once or later. */
    void process(ServerConnection connection, String method, String path, byte[] body);

    /**
     * Answers a request with an error at once, and closes the connection. The rest of the request
     * is not parsed. The method and the path are empty if the request line was not parsed.
     */
    void refuse(ServerConnection connection, String method, String path, int status, String reason);

    /** Returns the largest body that a request for this path may have. */
    int maxBodyBytes(String path);

    /** Returns whether requests for this path are heartbeats of workers. */
    boolean isHeartbeat(String path);

    /** Returns the limits on what requests may take to arrive. */
    RequestIntake intake();
  }

  private static final long IDLE_TIMEOUT_MILLIS = 120_000;

  private final RequestProcessor processor;
  private final ConnectionBudget budget;
  private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.RFC7230);
  private final Body body = new Body();
  private State state = State.READING;
  private ConnectionBudget.InboundUse use = ConnectionBudget.InboundUse.USER;

  /** Whether input became readable while the answer was awaited. */
  private boolean inputPending;

  /**
   * The input that was read after the current request; null if there is none. No known client sends
   * a request before the previous answer, but no input may be lost.
   */
  private ByteBuffer pipelinedInput;

  private String method;
  private String path;
  private boolean keepAlive;
  private boolean requestBegun;
  private boolean requestComplete;
  private int reservedBytes;
  private int drainedBytes;

  ServerConnection(
      EndPoint endPoint, Executor executor, RequestProcessor processor, ConnectionBudget budget) {
    super(endPoint, executor);
    this.processor = processor;
    this.budget = budget;
    // A header cache takes 100 KB per connection. With one connection for each worker, that exceeds
    // the machine's memory.
    parser.setHeaderCacheSize(0);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    getEndPoint().setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    processor.intake().opened(this);
    awaitInput();
  }

  @Override
  public void onFillable() {
    synchronized (this) {
      if (state == State.ANSWERING) {
        inputPending = true;
        return;
      }
    }
    super.onFillable();
  }

  @Override
  boolean handleInput(ByteBuffer input) {
    return isIn(State.DRAINING) ? discard(input.remaining()) : read(input);
  }

  @Override
  void endOfInput(ByteBuffer empty) {
    // An incomplete request gets no answer.
  }

  /** Counts discarded input. Closes the connection and returns false above the limit. */
  private boolean discard(int bytes) {
    drainedBytes += bytes;
    if (drainedBytes > MAX_DRAINED_BYTES) {
      close();
      return false;
    }
    return true;
  }

  /** Parses input; returns false once a request was dispatched or refused. */
  private boolean read(ByteBuffer buffer) {
    if (buffer.hasRemaining() && !requestBegun) {
      requestBegun = true;
      processor.intake().begin(this);
    }
    while (true) {
      boolean event = parser.parseNext(buffer);
      if (requestComplete) {
        if (buffer.hasRemaining()) {
          pipelinedInput = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
        }
        requestComplete = false;
        dispatch();
        return false;
      }
      if (!isIn(State.READING)) {
        return false;
      }
      if (!buffer.hasRemaining() && !event) {
        return true;
      }
    }
  }

  private synchronized boolean isIn(State expected) {
    return state == expected;
  }

  /** Changes the state; a closed connection stays closed. */
  private synchronized void changeState(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  private void dispatch() {
    changeState(State.ANSWERING);
    endRequest();
    if (processor.isHeartbeat(path)) {
      countAsHeartbeat();
    }
    processor.process(this, method, path, body.take());
  }

  /** Records that the request is complete or refused. */
  private void endRequest() {
    requestBegun = false;
    processor.intake().end(this);
  }

  private synchronized void countAsHeartbeat() {
    if (use == ConnectionBudget.InboundUse.USER && state != State.CLOSED) {
      use = ConnectionBudget.InboundUse.HEARTBEAT;
      budget.countAsHeartbeat();
    }
  }

  /**
   * Marks this connection as closing if the budget reclaims its socket for another use, and returns
   * whether it does.
   */
  private synchronized boolean reclaimIfNeeded() {
    if (use == ConnectionBudget.InboundUse.HEARTBEAT
        && state != State.CLOSED
        && budget.reclaimHeartbeat()) {
      use = ConnectionBudget.InboundUse.CLOSING;
      return true;
    }
    return false;
  }

  /**
   * Answers the current request; does nothing if the connection is closed.
   *
   * @param retryAfterSeconds the value of Retry-After; 0 for none
   * @param allow the allowed method after a wrong one; null for none
   * @param last whether the connection is closed after this answer
   */
  void answer(int status, int retryAfterSeconds, String allow, byte[] content, boolean last) {
    if (isIn(State.CLOSED)) {
      return;
    }
    ByteBuffer head = Buffers.writeBuffer();
    boolean close = last || !keepAlive || reclaimIfNeeded();
    HttpHeads.response(head, status, retryAfterSeconds, allow, content.length, close);
    Buffers.write(getEndPoint(), head, content, new AnswerWritten(close));
  }

  /** Reads the next request, or closes the connection, after an answer is written. */
  private final class AnswerWritten implements Callback {
    private final boolean close;

    AnswerWritten(boolean close) {
      this.close = close;
    }

    @Override
    public void succeeded() {
      if (close) {
        drain();
      } else {
        readNext();
      }
    }

    @Override
    public void failed(Throwable cause) {
      close();
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }

  /**
   * Discards input for a short time before the close. A close with unread input would reset the
   * connection, and the other side would lose the answer.
   */
  private void drain() {
    releaseReservedBytes();
    boolean wasInputPending;
    synchronized (this) {
      wasInputPending = inputPending;
      inputPending = false;
      changeState(State.DRAINING);
    }
    getEndPoint().setIdleTimeout(DRAIN_TIMEOUT_MILLIS);
    getEndPoint().shutdownOutput();
    if (wasInputPending) {
      awaitInput();
    }
  }

  private void readNext() {
    parser.reset();
    releaseReservedBytes();
    ByteBuffer pipelined;
    boolean wasInputPending;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      changeState(State.READING);
      pipelined = pipelinedInput;
      pipelinedInput = null;
      wasInputPending = inputPending;
      inputPending = false;
    }
    if (pipelined != null) {
      read(pipelined);
    }
    if (wasInputPending) {
      awaitInput();
    }
  }

  /** Counts reserved bytes for this connection; returns false if it is closed. */
  private synchronized boolean countReservedBytes(int bytes) {
    if (state == State.CLOSED) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  private synchronized void releaseReservedBytes() {
    processor.intake().release(reservedBytes);
    reservedBytes = 0;
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    boolean wasOpen;
    synchronized (this) {
      wasOpen = state != State.CLOSED;
      state = State.CLOSED;
    }
    releaseReservedBytes();
    processor.intake().end(this);
    if (wasOpen) {
      budget.closeInbound(use);
    }
  }

  /** Returns the address of the sender. */
  String remoteAddress() {
    return String.valueOf(getEndPoint().getRemoteSocketAddress());
  }

  /** Closes the connection of a sender that is too slow, and releases the memory of its request. */
  void abort() {
    releaseReservedBytes();
    close();
  }

  private void refuse(int status, String reason) {
    changeState(State.ANSWERING);
    endRequest();
    processor.refuse(this, method == null ? "" : method, path == null ? "" : path, status, reason);
  }

  // Callbacks of the parser.

  @Override
  public void startRequest(String requestMethod, String uri, HttpVersion version) {
    method = requestMethod;
    path = RequestTarget.path(uri);
    keepAlive = version == HttpVersion.HTTP_1_1;
  }

  @Override
  public void parsedHeader(HttpField field) {
    if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
      keepAlive = false;
    } else if (field.getHeader() == HttpHeader.EXPECT && field.contains("100-continue")) {
      sendContinue();
    }
  }

  private void sendContinue() {
    ByteBuffer head = Buffers.writeBuffer();
    HttpHeads.interimResponse(head);
    try {
      getEndPoint().flush(head);
    } catch (IOException e) {
      close();
    }
  }

  @Override
  public boolean headerComplete() {
    if (parser.getContentLength() > processor.maxBodyBytes(path)) {
      refuse(400, "body too long or cut short");
      return true;
    }
    return false;
  }

  @Override
  public boolean content(ByteBuffer chunk) {
    if (!isIn(State.READING)) {
      return true;
    }
    boolean completesBody = body.length() + chunk.remaining() == parser.getContentLength();
    if (!processor.intake().reserve(chunk.remaining(), completesBody)) {
      refuse(503, "too much to read at once");
      return true;
    }
    if (!countReservedBytes(chunk.remaining())) {
      processor.intake().release(chunk.remaining());
      return true;
    }
    if (!body.add(chunk, processor.maxBodyBytes(path))) {
      refuse(400, "body too long or cut short");
      return true;
    }
    return false;
  }

  @Override
  public boolean messageComplete() {
    requestComplete = isIn(State.READING);
    return true;
  }

  @Override
  public void badMessage(HttpException failure) {
    if (isIn(State.READING)) {
      refuse(failure.getCode(), "not HTTP");
    }
  }
}
