package org.eiderstair.http;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.PreEncodedHttpField;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eiderstair.core.Answer;
import org.eiderstair.core.Event;
import org.eiderstair.core.JobSpec;
import org.eiderstair.core.MachineReport;
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.Malformed;
import org.eiderstair.protocol.Pack;
import org.eiderstair.protocol.UserMessages;
import org.eiderstair.protocol.WorkerMessages;

/** Serves users, workers and health checks: turns requests into events, and the core's answers into responses. */
public final class Inbound extends Handler.Abstract.NonBlocking {
  private static final HttpField TYPE = new PreEncodedHttpField(HttpHeader.CONTENT_TYPE, "application/msgpack");
  /** The name of the connector that other controllers use. */
  public static final String PEER = "peer";

  private static final String WORK = "/work";
  private static final String CANCEL = "/cancel";

  private record Exchange(Response response, Callback callback, boolean ofPeer) {}

  /** What to do with a body once it has been read. */
  private interface BodyUse {
    void accept(long exchange, Map<String, Object> message) throws Malformed;
  }

  private interface BytesUse {
    void accept(byte[] bytes) throws Malformed;
  }

  private final Consumer<Event> events;
  private final AtomicLong lastExchange = new AtomicLong();
  private final Map<Long, Exchange> open = new ConcurrentHashMap<>();

  public Inbound(Consumer<Event> events) {
    this.events = events;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    String method = request.getMethod();
    boolean ofPeer = PEER.equals(request.getConnectionMetaData().getConnector().getName());
    Exchange exchange = new Exchange(response, callback, ofPeer);
    if (ofPeer) {
      peer(exchange, request, path, method);
      return true;
    }
    switch (path) {
      case "/ready" -> with(exchange, method, "GET", id -> events.accept(new Event.ReadyProbe(id)));
      case "/agent/beat" -> with(exchange, method, "POST", id -> body(id, request, this::report));
      case WORK -> with(exchange, method, "POST", id -> body(id, request, this::submit));
      default -> job(exchange, path, method);
    }
    return true;
  }

  /** Relays and questions about the state service come over the peer link, in Avro. */
  private void peer(Exchange exchange, Request request, String path, String method) {
    if (path.equals(PeerMessages.STANDING_PATH)) {
      with(exchange, method, "GET", id -> events.accept(new Event.PeerAsked(id)));
      return;
    }
    if (!path.equals(PeerMessages.RELAY_PATH)) {
      fail(exchange, 404, "no such path");
      return;
    }
    with(exchange, method, "POST", id -> bytes(id, request, PeerMessages.MOST_BYTES,
        bytes -> events.accept(new Event.Reported(id, PeerMessages.report(bytes), true))));
  }

  private void job(Exchange exchange, String path, String method) {
    if (!path.startsWith(WORK + "/")) {
      fail(exchange, 404, "no such path");
      return;
    }
    String rest = path.substring(WORK.length() + 1);
    boolean cancel = rest.endsWith(CANCEL);
    String id = cancel ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
    if (!UserMessages.isId(id)) {
      fail(exchange, 404, "no such job");
    } else if (cancel) {
      with(exchange, method, "POST", e -> events.accept(new Event.Cancel(e, id)));
    } else {
      with(exchange, method, "GET", e -> events.accept(new Event.Poll(e, id)));
    }
  }

  private void with(Exchange exchange, String method, String allowed, Consumer<Long> then) {
    if (!method.equals(allowed)) {
      exchange.response().getHeaders().put(HttpHeader.ALLOW, allowed);
      fail(exchange, 405, "method not allowed");
      return;
    }
    long id = lastExchange.incrementAndGet();
    open.put(id, exchange);
    then.accept(id);
  }

  private void body(long id, Request request, BodyUse use) {
    bytes(id, request, UserMessages.MOST_BYTES, bytes -> use.accept(id, Pack.readMap(bytes)));
  }

  private void bytes(long id, Request request, int most, BytesUse use) {
    if (request.getLength() > most) {
      tooLong(id);
      return;
    }
    Content.Source.asByteArrayAsync(request, most).whenComplete((bytes, failure) -> {
      if (failure != null) {
        tooLong(id);
        return;
      }
      try {
        use.accept(bytes);
      } catch (Malformed e) {
        respond(id, new Answer.Failure(400, e.getMessage(), 0));
      }
    });
  }

  /** Refused without reading the rest, so the connection cannot be used again. */
  private void tooLong(long id) {
    Exchange exchange = open.get(id);
    if (exchange != null) {
      exchange.response().getHeaders().put(HttpHeader.CONNECTION, "close");
      respond(id, new Answer.Failure(400, "body too long or cut short", 0));
    }
  }

  private void report(long exchange, Map<String, Object> message) throws Malformed {
    MachineReport report = WorkerMessages.report(message);
    events.accept(new Event.Reported(exchange, report, false));
  }

  private void submit(long exchange, Map<String, Object> message) throws Malformed {
    String id = UserMessages.id(message);
    JobSpec spec = null;
    String fault = null;
    try {
      spec = UserMessages.spec(message);
    } catch (Malformed e) {
      fault = e.getMessage();
    }
    events.accept(new Event.Submit(exchange, id, spec, fault));
  }

  /** The core's answer to an exchange. */
  public void respond(long id, Answer answer) {
    Exchange exchange = open.remove(id);
    if (exchange == null) {
      return;
    }
    if (answer instanceof Answer.Standing standing) {
      write(exchange, 200, PeerMessages.standing(standing));
    } else if (exchange.ofPeer()) {
      write(exchange, 200, PeerMessages.answer(answer));
    } else if (answer instanceof Answer.JobView view) {
      write(exchange, view.status(), UserMessages.view(view));
    } else if (answer instanceof Answer.Command command) {
      write(exchange, 200, WorkerMessages.orders(command.token(), command.orders()));
    } else if (answer instanceof Answer.Redirect redirect) {
      write(exchange, 421, WorkerMessages.redirect(redirect.node()));
    } else if (answer instanceof Answer.Ready ready) {
      write(exchange, ready.ready() ? 200 : 503, UserMessages.error(ready.ready() ? "" : "not ready"));
    } else if (answer instanceof Answer.Failure failure) {
      if (failure.retryAfterS() > 0) {
        exchange.response().getHeaders().put(HttpHeader.RETRY_AFTER, Integer.toString(failure.retryAfterS()));
      }
      fail(exchange, failure.status(), failure.reason());
    }
  }

  private static void fail(Exchange exchange, int status, String reason) {
    write(exchange, status, UserMessages.error(reason));
  }

  private static void write(Exchange exchange, int status, byte[] body) {
    exchange.response().setStatus(status);
    exchange.response().getHeaders().put(TYPE);
    exchange.response().write(true, ByteBuffer.wrap(body), exchange.callback());
  }
}
