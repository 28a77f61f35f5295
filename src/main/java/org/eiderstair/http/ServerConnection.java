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
 * One connection of a user, a worker or another controller, with Jetty's parser straight on its
 * endpoint: one request at a time, its body whole, its answer whole. Jetty's own server does a lot
 * more for each request, which a cold controller on a small machine cannot pay (figures in
 * docs/operating.md).
 */
final class ServerConnection extends AbstractConnection implements HttpParser.RequestHandler {
  /**
   * READING takes a request; ANSWERING has handed it over and reads nothing more; DRAINING has
   * refused it, and reads a little more of it so that the other side gets to read why; CLOSED is
   * over.
   */
  private enum State {
    READING,
    ANSWERING,
    DRAINING,
    CLOSED
  }

  private static final int MOST_HEAD = 8 * 1024;
  private static final int MOST_DRAINED = 512 * 1024;
  private static final long DRAIN_MS = 2000;

  /** Where whole requests go, and what bounds them. */
  interface Requests {
    void request(ServerConnection from, String method, String path, byte[] body);

    /** Answers at once, and closes the connection; the rest of the request is not read. */
    void refuse(ServerConnection from, String method, String path, int status, String why);

    int mostBytes(String path);

    /** Whether requests for this path are heartbeats of workers. */
    boolean isHeartbeat(String path);

    /** Whether so many more bytes of bodies may be held; they are held until {@link #release}. */
    boolean hold(int bytes);

    void release(int bytes);
  }

  private static final long IDLE_MS = 120_000;

  private final Requests requests;
  private final ConnectionBudget budget;
  private final Callback fillable =
      Callback.from(
          Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed);
  private final HttpParser parser = new HttpParser(this, MOST_HEAD, HttpCompliance.RFC7230);
  private final Body body = new Body();
  private State state = State.READING;
  private ConnectionBudget.InboundUse use = ConnectionBudget.InboundUse.USER;

  /** There was more to read while the answer was awaited. */
  private boolean paused;

  /** What came behind a request; nobody pipelines, but it must not be lost. */
  private ByteBuffer early;

  private String method;
  private String path;
  private boolean keep;
  private boolean whole;
  private int held;
  private int drained;

  ServerConnection(
      EndPoint endPoint, Executor executor, Requests requests, ConnectionBudget budget) {
    super(endPoint, executor);
    this.requests = requests;
    this.budget = budget;
    // A cache of its own would cost each connection 100 KB: more than the machine has, with one
    // worker on each.
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
        if (is(State.DRAINING)) {
          drained += filled;
          if (drained > MOST_DRAINED) {
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
    // Asked for at once, also while an answer is awaited: later it would have to wake the selector.
    if (getEndPoint().isOpen()) {
      fillInterested(fillable);
    }
  }

  /** Parses; false once a request was handed over, or nothing more is wanted. */
  private boolean read(ByteBuffer buffer) {
    while (true) {
      boolean event = parser.parseNext(buffer);
      if (whole) {
        if (buffer.hasRemaining()) {
          early = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
        }
        whole = false;
        handOver();
        return false;
      }
      if (!is(State.READING)) {
        return false;
      }
      if (!buffer.hasRemaining() && !event) {
        return true;
      }
    }
  }

  private synchronized boolean is(State asked) {
    return state == asked;
  }

  /** The one function for every change of state. */
  private synchronized void become(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  private void handOver() {
    become(State.ANSWERING);
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

  /**
   * The one answer to the request that was handed over; {@code allow} is null but for a wrong
   * method.
   */
  void answer(int status, int retryAfterS, String allow, byte[] content, boolean last) {
    if (is(State.CLOSED)) {
      return;
    }
    ByteBuffer head = Buffers.out();
    boolean close = last || !keep || isReclaimed();
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
        next();
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

  /**
   * What the other side still sends is not read for long: a reset would take the answer from it.
   */
  private void drain() {
    letGo();
    boolean again;
    synchronized (this) {
      again = paused;
      paused = false;
      become(State.DRAINING);
    }
    getEndPoint().setIdleTimeout(DRAIN_MS);
    getEndPoint().shutdownOutput();
    if (again) {
      fillInterested(fillable);
    }
  }

  private void next() {
    parser.reset();
    letGo();
    ByteBuffer more;
    boolean again;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      become(State.READING);
      more = early;
      early = null;
      again = paused;
      paused = false;
    }
    if (more != null) {
      read(more);
    }
    if (again) {
      fillInterested(fillable);
    }
  }

  private synchronized void letGo() {
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
    letGo();
    if (counted) {
      budget.closeInbound(use);
    }
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    close();
  }

  private void refuse(int status, String why) {
    become(State.ANSWERING);
    requests.refuse(this, method == null ? "" : method, path == null ? "" : path, status, why);
  }

  // What the parser finds.

  @Override
  public void startRequest(String requestMethod, String uri, HttpVersion version) {
    method = requestMethod;
    int query = uri.indexOf('?');
    path = query < 0 ? uri : uri.substring(0, query);
    keep = version == HttpVersion.HTTP_1_1;
  }

  @Override
  public void parsedHeader(HttpField field) {
    if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
      keep = false;
    } else if (field.getHeader() == HttpHeader.EXPECT && field.contains("100-continue")) {
      goOn();
    }
  }

  private void goOn() {
    ByteBuffer head = Buffers.out();
    HttpHeads.goOn(head);
    try {
      getEndPoint().flush(head);
    } catch (IOException e) {
      close();
    }
  }

  @Override
  public boolean headerComplete() {
    if (parser.getContentLength() > requests.mostBytes(path)) {
      refuse(400, "body too long or cut short");
      return true;
    }
    return false;
  }

  @Override
  public boolean content(ByteBuffer chunk) {
    if (!is(State.READING)) {
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
    if (!body.add(chunk, requests.mostBytes(path))) {
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
    whole = is(State.READING);
    return true;
  }

  @Override
  public void earlyEOF() {
    close();
  }

  @Override
  public void badMessage(HttpException failure) {
    if (is(State.READING)) {
      refuse(failure.getCode(), "not HTTP");
    }
  }
}
