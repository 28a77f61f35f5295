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
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * One inbound connection of a user, a worker or another controller, with Jetty's parser directly on
 * its endpoint: one request at a time, its body and answer complete. Jetty's own server does much
 * more for each request, too much for a cold controller on a small machine (figures in
 * docs/operating.md).
 */
final class ServerConnection extends AbstractConnection implements HttpParser.RequestHandler {
  /**
   * READING takes a request; ANSWERING has handed it over and reads nothing more; DRAINING has sent
   * its last answer, and discards a little more input so that the other side can read that answer.
   */
  private enum State {
    READING,
    ANSWERING,
    DRAINING,
    CLOSED
  }

  private static final int MAX_HEAD_BYTES = 8 * 1024;
  private static final int MAX_DRAINED_BYTES = 512 * 1024;
  private static final long DRAIN_MS = 2000;

  /** Handles complete requests, and limits their size. */
  interface Requests {
    void request(ServerConnection from, String method, String path, byte[] body);

    /** Answers at once, and closes the connection; the rest of the request is not read. */
    void refuse(ServerConnection from, String method, String path, int status, String why);

    int maxBytes(String path);

    /** Whether requests for this path are heartbeats of workers. */
    boolean isHeartbeat(String path);

    /**
     * Reserves memory for bytes of bodies until {@link #release}; false if the limit is reached.
     */
    boolean hold(int bytes);

    void release(int bytes);
  }

  private static final long IDLE_MS = 120_000;

  private final Requests requests;
  private final ConnectionBudget budget;
  private final Callback fillable =
      Callback.from(
          Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed);
  private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.RFC7230);
  private final Body body = new Body();
  private State state = State.READING;
  private ConnectionBudget.InboundUse use = ConnectionBudget.InboundUse.USER;

  /** Input became readable while the answer was awaited. */
  private boolean paused;

  /** Input after the current request; no known client pipelines, but it must not be lost. */
  private ByteBuffer pipelined;

  private String method;
  private String path;
  private boolean keepAlive;
  private boolean requestComplete;
  private int held;
  private int drained;

  ServerConnection(
      EndPoint endPoint, Executor executor, Requests requests, ConnectionBudget budget) {
    super(endPoint, executor);
    this.requests = requests;
    this.budget = budget;
    // A header cache would cost each connection 100 KB: more than the machine has, with one
    // connection for each worker.
    parser.setHeaderCacheSize(0);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    getEndPoint().setIdleTimeout(IDLE_MS);
    fillInterested(fillable);
  }

  @Override
  public void onFillable() {
    synchronized (this) {
      if (state == State.ANSWERING) {
        paused = true;
        return;
      }
    }
    ByteBuffer buffer = Buffers.in();
    int room = buffer.capacity();
    int filled = room;
    try {
      while (filled == room) {
        buffer.position(0).limit(0);
        filled = getEndPoint().fill(buffer);
        if (filled < 0) {
          close();
          return;
        }
        if (isIn(State.DRAINING)) {
          drained += filled;
          if (drained > MAX_DRAINED_BYTES) {
            close();
            return;
          }
        } else if (!read(buffer)) {
          break;
        }
      }
    } catch (IOException | RuntimeException e) {
      close();
      return;
    }
    // Registered now, also while an answer is awaited: doing so later would wake the selector.
    if (getEndPoint().isOpen()) {
      fillInterested(fillable);
    }
  }

  /** Parses; false once a request was dispatched, or no more input is wanted. */
  private boolean read(ByteBuffer buffer) {
    while (true) {
      boolean event = parser.parseNext(buffer);
      if (requestComplete) {
        if (buffer.hasRemaining()) {
          pipelined = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
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

  private synchronized boolean isIn(State asked) {
    return state == asked;
  }

  /** Changes the state; a closed connection stays closed. */
  private synchronized void changeState(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  private void dispatch() {
    changeState(State.ANSWERING);
    if (requests.isHeartbeat(path)) {
      countAsHeartbeat();
    }
    requests.request(this, method, path, body.take());
  }

  private synchronized void countAsHeartbeat() {
    if (use == ConnectionBudget.InboundUse.USER && state != State.CLOSED) {
      use = ConnectionBudget.InboundUse.HEARTBEAT;
      budget.becomeHeartbeat();
    }
  }

  /** Whether the budget needs this connection's socket for something else. */
  private synchronized boolean isReclaimed() {
    if (use == ConnectionBudget.InboundUse.HEARTBEAT
        && state != State.CLOSED
        && budget.reclaimHeartbeat()) {
      use = ConnectionBudget.InboundUse.CLOSING;
      return true;
    }
    return false;
  }

  /** Answers the dispatched request; {@code allow} is null except for a wrong method. */
  void answer(int status, int retryAfterS, String allow, byte[] content, boolean last) {
    if (isIn(State.CLOSED)) {
      return;
    }
    ByteBuffer head = Buffers.out();
    boolean close = last || !keepAlive || isReclaimed();
    HttpHeads.response(head, status, retryAfterS, allow, content.length, close);
    Buffers.write(getEndPoint(), head, content, new Written(close));
  }

  private final class Written implements Callback {
    private final boolean close;

    Written(boolean close) {
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
    public void failed(Throwable why) {
      close();
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }

  /** Discards input for a short time: a reset would make the other side lose the answer. */
  private void drain() {
    releaseHeldBytes();
    boolean wasPaused;
    synchronized (this) {
      wasPaused = paused;
      paused = false;
      changeState(State.DRAINING);
    }
    getEndPoint().setIdleTimeout(DRAIN_MS);
    getEndPoint().shutdownOutput();
    if (wasPaused) {
      fillInterested(fillable);
    }
  }

  private void readNext() {
    parser.reset();
    releaseHeldBytes();
    ByteBuffer more;
    boolean wasPaused;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      changeState(State.READING);
      more = pipelined;
      pipelined = null;
      wasPaused = paused;
      paused = false;
    }
    if (more != null) {
      read(more);
    }
    if (wasPaused) {
      fillInterested(fillable);
    }
  }

  private synchronized void releaseHeldBytes() {
    requests.release(held);
    held = 0;
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    boolean counted;
    synchronized (this) {
      counted = state != State.CLOSED;
      state = State.CLOSED;
    }
    releaseHeldBytes();
    if (counted) {
      budget.closeInbound(use);
    }
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    close();
  }

  private void refuse(int status, String why) {
    changeState(State.ANSWERING);
    requests.refuse(this, method == null ? "" : method, path == null ? "" : path, status, why);
  }

  // Callbacks of the parser.

  @Override
  public void startRequest(String requestMethod, String uri, HttpVersion version) {
    method = requestMethod;
    int query = uri.indexOf('?');
    path = query < 0 ? uri : uri.substring(0, query);
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
    ByteBuffer head = Buffers.out();
    HttpHeads.interimResponse(head);
    try {
      getEndPoint().flush(head);
    } catch (IOException e) {
      close();
    }
  }

  @Override
  public boolean headerComplete() {
    if (parser.getContentLength() > requests.maxBytes(path)) {
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
    synchronized (this) {
      if (requests.hold(chunk.remaining())) {
        held += chunk.remaining();
      } else {
        refuse(503, "too much to read at once");
        return true;
      }
    }
    if (!body.add(chunk, requests.maxBytes(path))) {
      refuse(400, "body too long or cut short");
      return true;
    }
    return false;
  }

  @Override
  public boolean contentComplete() {
    return false;
  }

  @Override
  public boolean messageComplete() {
    requestComplete = isIn(State.READING);
    return true;
  }

  @Override
  public void earlyEOF() {
    close();
  }

  @Override
  public void badMessage(HttpException failure) {
    if (isIn(State.READING)) {
      refuse(failure.getCode(), "not HTTP");
    }
  }
}
