package org.eiderstair.http;

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

/** A connection to the state service, the cloud, a worker or a peer, for one exchange at a time. */
final class ClientConnection extends ParsingConnection implements HttpParser.ResponseHandler {
  private enum State {
    /** The connection may take an exchange. */
    FREE,

    /** A request was sent, and its response is awaited. */
    AWAITING_RESPONSE,

    /** The connection is closed. */
    CLOSED
  }

  private static final byte[] NO_BODY = new byte[0];

  /** Receives the events of a connection; the exchange is null if none was in progress. */
  interface Owner {
    /** Called once the connection is open and free. */
    void opened(ClientConnection connection);

    /** Called for each complete response; a reusable connection is free again. */
    void completed(
        ClientConnection connection,
        Exchange exchange,
        int status,
        byte[] content,
        boolean reusable);

    /** Called once the connection is closed; the exchange gets no response. */
    void closed(ClientConnection connection, Exchange exchange, String reason);
  }

  private final Owner owner;
  private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.RFC7230);
  private final Body body = new Body();
  final Destination destination;
  private State state = State.FREE;
  private Exchange exchange;
  private int status;
  private boolean keepAlive;
  private boolean responseComplete;
  private boolean interimResponse;

  ClientConnection(EndPoint endPoint, Executor executor, Destination destination, Owner owner) {
    super(endPoint, executor);
    this.destination = destination;
    this.owner = owner;
    parser.setHeaderCacheSize(0);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    // Input is always awaited, so that the end of a free connection is noticed before its next use.
    awaitInput();
    owner.opened(this);
  }

  /** Sends a request; returns false, and sends nothing, if the connection is not free. */
  boolean send(Exchange next) {
    synchronized (this) {
      if (state != State.FREE) {
        return false;
      }
      state = State.AWAITING_RESPONSE;
      exchange = next;
    }
    ByteBuffer head = Buffers.writeBuffer();
    OutgoingRequest request = next.request;
    boolean hasBody = request.body != null;
    byte[] content = hasBody ? request.body : NO_BODY;
    HttpHeads.request(
        head, request.method, request.path, destination.address, content.length, hasBody);
    Buffers.write(
        getEndPoint(),
        head,
        content,
        new Callback() {
          @Override
          public void failed(Throwable cause) {
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
  boolean handleInput(ByteBuffer input) {
    read(input);
    return true;
  }

  @Override
  void endOfInput(ByteBuffer empty) {
    parser.atEOF();
    read(empty);
  }

  private void read(ByteBuffer buffer) {
    while (true) {
      boolean event = parser.parseNext(buffer);
      if (interimResponse) {
        interimResponse = false;
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
    Exchange completed;
    synchronized (this) {
      completed = exchange;
      exchange = null;
      keepAlive &= state == State.AWAITING_RESPONSE;
      if (state == State.AWAITING_RESPONSE) {
        state = State.FREE;
      }
    }
    parser.reset();
    boolean reusable = keepAlive;
    owner.completed(this, completed, status, body.take(), reusable);
    if (!reusable) {
      close();
    }
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
  public boolean messageComplete() {
    interimResponse = status < 200;
    responseComplete = !interimResponse;
    return true;
  }

  @Override
  public void badMessage(HttpException failure) {
    close();
  }
}
