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

/** One connection to the state service, the cloud, a worker or a peer: one exchange at a time. */
final class ClientConnection extends AbstractConnection implements HttpParser.ResponseHandler {
  /** FREE may take an exchange; AWAITING_RESPONSE waits for its response. */
  private enum State {
    FREE,
    AWAITING_RESPONSE,
    CLOSED
  }

  private static final int MAX_HEAD_BYTES = 8 * 1024;
  private static final byte[] NO_BODY = new byte[0];

  /** Receives the events of a connection; the exchange is null when there was none. */
  interface Owner {
    void opened(ClientConnection connection);

    void completed(
        ClientConnection connection,
        Exchange exchange,
        int status,
        byte[] content,
        boolean reusable);

    void closed(ClientConnection connection, Exchange exchange, String why);
  }

  private final Owner owner;
  private final Callback fillable =
      Callback.from(
          Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed);
  private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.RFC7230);
  private final Body body = new Body();
  final Destination destination;
  private State state = State.FREE;
  private Exchange exchange;
  private int status;
  private boolean keepAlive;
  private boolean responseComplete;
  private boolean interim;

  ClientConnection(EndPoint endPoint, Executor executor, Destination destination, Owner owner) {
    super(endPoint, executor);
    this.destination = destination;
    this.owner = owner;
    parser.setHeaderCacheSize(0);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    // Always reading, so that a connection that the other side closed is not used again.
    fillInterested(fillable);
    owner.opened(this);
  }

  /** Sends the request; false, and nothing sent, if the connection is closed. */
  boolean send(Exchange next) {
    synchronized (this) {
      if (state != State.FREE) {
        return false;
      }
      state = State.AWAITING_RESPONSE;
      exchange = next;
    }
    ByteBuffer head = Buffers.out();
    byte[] content = next.body() == null ? NO_BODY : next.body();
    HttpHeads.request(
        head, next.method(), next.path(), destination.address, content.length, next.body() != null);
    Buffers.write(
        getEndPoint(),
        head,
        content,
        new Callback() {
          @Override
          public void failed(Throwable why) {
            close();
          }

          @Override
          public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
          }
        });
    return true;
  }

  @Override
  public void onFillable() {
    ByteBuffer buffer = Buffers.in();
    int room = buffer.capacity();
    int filled = room;
    try {
      while (filled == room) {
        buffer.position(0).limit(0);
        filled = getEndPoint().fill(buffer);
        if (filled < 0) {
          parser.atEOF();
        }
        read(buffer);
        if (filled < 0) {
          close();
          return;
        }
      }
    } catch (IOException | RuntimeException e) {
      close();
      return;
    }
    if (getEndPoint().isOpen()) {
      fillInterested(fillable);
    }
  }

  private void read(ByteBuffer buffer) {
    while (true) {
      boolean event = parser.parseNext(buffer);
      if (interim) {
        interim = false;
        parser.reset();
      } else if (responseComplete) {
        responseComplete = false;
        complete();
      } else if (!buffer.hasRemaining() && !event) {
        return;
      }
      if (!getEndPoint().isOpen()) {
        return;
      }
    }
  }

  private void complete() {
    Exchange done;
    synchronized (this) {
      done = exchange;
      exchange = null;
      keepAlive &= state == State.AWAITING_RESPONSE;
      if (state == State.AWAITING_RESPONSE) {
        state = State.FREE;
      }
    }
    parser.reset();
    boolean reusable = keepAlive;
    owner.completed(this, done, status, body.take(), reusable);
    if (!reusable) {
      close();
    }
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    close();
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    Exchange lost;
    synchronized (this) {
      state = State.CLOSED;
      lost = exchange;
      exchange = null;
    }
    owner.closed(this, lost, cause == null ? "connection closed" : cause.toString());
  }

  // Callbacks of the parser.

  @Override
  public void startResponse(HttpVersion version, int responseStatus, String reason) {
    status = responseStatus;
    keepAlive = version == HttpVersion.HTTP_1_1;
  }

  @Override
  public void parsedHeader(HttpField field) {
    if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
      keepAlive = false;
    }
  }

  @Override
  public boolean headerComplete() {
    return false;
  }

  @Override
  public boolean content(ByteBuffer chunk) {
    if (!body.add(chunk, Exchange.MAX_RESPONSE_BYTES)) {
      close();
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
    interim = status < 200;
    responseComplete = !interim;
    return true;
  }

  @Override
  public void earlyEOF() {
    close();
  }

  @Override
  public void badMessage(HttpException failure) {
    close();
  }
}
