package org.eiderstair.http;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Submission;
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.UserMessages;
import org.eiderstair.protocol.WorkerMessages;

/**
 * Serves users, workers and health checks: turns requests into events, and the core's answers into
 * responses.
 */
public final class HttpRequestRouter {
  /** For requests that are refused before the core has seen them. */
  private static final int RETRY_AFTER_S = 1;

  /** A worker waits 4 s for its answer, the time on the network included. */
  private static final long MAX_HEARTBEAT_WAIT_MICROS = 3_500_000;

  private static final String HEARTBEAT_PATH = "/agent/beat";
  private static final String JOBS_PATH = "/work";
  private static final String CANCEL_SUFFIX = "/cancel";
  private static final byte[] EMPTY_ANSWER = UserMessages.encodeError("");

  private record OpenExchange(ServerConnection connection, boolean ofPeer, long receivedMicros) {}

  /** Turns a request body into an event. */
  private interface BodyHandler {
    void accept(long exchange, byte[] body) throws MalformedMessageException;
  }

  private final Consumer<Event> events;
  private final BooleanSupplier overloaded;
  private final LongSupplier clock;
  private final int maxHeldBytes;
  private final AtomicInteger held = new AtomicInteger();
  private final AtomicLong lastExchange = new AtomicLong();
  private final Map<Long, OpenExchange> open = new ConcurrentHashMap<>();

  /**
   * @param overloaded whether this node is behind with its work; polls are refused meanwhile, since
   *     their answers can wait longest
   * @param maxHeldBytes how many bytes of request bodies may be held at once; more are refused, so
   *     that many large ones together do not exhaust the memory of a small machine
   */
  public HttpRequestRouter(
      Consumer<Event> events, BooleanSupplier overloaded, LongSupplier clock, int maxHeldBytes) {
    this.events = events;
    this.overloaded = overloaded;
    this.clock = clock;
    this.maxHeldBytes = maxHeldBytes;
  }

  /** Listens for users and workers; returns the port. */
  public int listen(Sockets sockets, String host, int port, ConnectionBudget budget)
      throws IOException {
    return sockets.listen(host, port, budget, new PublicRequests());
  }

  /** Listens for the other controllers. */
  public void listenForPeers(Sockets sockets, String host, int port) throws IOException {
    sockets.listen(host, port, ConnectionBudget.unlimited(), new PeerRequests());
  }

  /** What all listeners have in common. */
  private abstract class CommonRequests implements ServerConnection.Requests {
    @Override
    public void refuse(ServerConnection from, String method, String path, int status, String why) {
      from.answer(
          status, status == 503 ? RETRY_AFTER_S : 0, null, UserMessages.encodeError(why), true);
    }

    @Override
    public boolean hold(int bytes) {
      if (held.addAndGet(bytes) <= maxHeldBytes) {
        return true;
      }
      held.addAndGet(-bytes);
      return false;
    }

    @Override
    public void release(int bytes) {
      held.addAndGet(-bytes);
    }
  }

  private final class PublicRequests extends CommonRequests {
    @Override
    public int maxBytes(String path) {
      return UserMessages.MAX_BYTES;
    }

    @Override
    public boolean isHeartbeat(String path) {
      return path.equals(HEARTBEAT_PATH);
    }

    @Override
    public void request(ServerConnection from, String method, String path, byte[] body) {
      OpenExchange exchange = new OpenExchange(from, false, clock.getAsLong());
      switch (path) {
        case "/ready" ->
            handle(
                exchange,
                method,
                "GET",
                body,
                (id, content) -> events.accept(new Event.ReadyProbe(id)));
        case HEARTBEAT_PATH ->
            handle(
                exchange,
                method,
                "POST",
                body,
                (id, content) ->
                    events.accept(
                        new Event.HeartbeatReceived(
                            id, WorkerMessages.decodeHeartbeat(content), false)));
        case JOBS_PATH ->
            handle(
                exchange,
                method,
                "POST",
                body,
                (id, content) -> submit(id, MessagePackCodec.readMap(content)));
        default -> handleJobRequest(exchange, path, method, body);
      }
    }
  }

  /** Relays and questions about the state service come over the peer link, in Avro. */
  private final class PeerRequests extends CommonRequests {
    @Override
    public int maxBytes(String path) {
      return PeerMessages.MAX_BYTES;
    }

    @Override
    public boolean isHeartbeat(String path) {
      return false;
    }

    @Override
    public void request(ServerConnection from, String method, String path, byte[] body) {
      OpenExchange exchange = new OpenExchange(from, true, clock.getAsLong());
      if (path.equals(PeerMessages.STATE_SERVICE_STATUS_PATH)) {
        handle(
            exchange,
            method,
            "GET",
            body,
            (id, content) -> events.accept(new Event.StateServiceStatusRequested(id)));
      } else if (path.equals(PeerMessages.MEMBERSHIP_PATH)) {
        handle(
            exchange,
            method,
            "POST",
            body,
            (id, content) -> events.accept(PeerMessages.decodeMembershipRequest(id, content)));
      } else if (path.equals(PeerMessages.REPLICATION_PATH)) {
        handle(
            exchange,
            method,
            "POST",
            body,
            (id, content) ->
                events.accept(
                    new Event.ReplicationReceived(
                        id, PeerMessages.decodeReplicationBatch(content))));
      } else if (path.equals(PeerMessages.CANCELLATIONS_PATH)) {
        handle(
            exchange,
            method,
            "POST",
            body,
            (id, content) ->
                events.accept(
                    new Event.CancellationsReceived(
                        id, PeerMessages.decodeCancellations(content))));
      } else if (path.equals(PeerMessages.RELAY_PATH)) {
        handle(
            exchange,
            method,
            "POST",
            body,
            (id, content) ->
                events.accept(
                    new Event.HeartbeatReceived(id, PeerMessages.decodeHeartbeat(content), true)));
      } else {
        fail(from, 404, "no such path");
      }
    }
  }

  private void handleJobRequest(OpenExchange exchange, String path, String method, byte[] body) {
    if (!path.startsWith(JOBS_PATH + "/")) {
      fail(exchange.connection(), 404, "no such path");
      return;
    }
    String rest = path.substring(JOBS_PATH.length() + 1);
    boolean cancel = rest.endsWith(CANCEL_SUFFIX);
    String id = cancel ? rest.substring(0, rest.length() - CANCEL_SUFFIX.length()) : rest;
    if (!UserMessages.isJobId(id)) {
      fail(exchange.connection(), 404, "no such job");
    } else if (cancel) {
      handle(
          exchange,
          method,
          "POST",
          body,
          (exchangeId, content) -> events.accept(new Event.Cancel(exchangeId, id)));
    } else if (overloaded.getAsBoolean() && method.equals("GET")) {
      exchange
          .connection()
          .answer(503, RETRY_AFTER_S, null, UserMessages.encodeError("overloaded"), false);
    } else {
      handle(
          exchange,
          method,
          "GET",
          body,
          (exchangeId, content) -> events.accept(new Event.Poll(exchangeId, id)));
    }
  }

  private void handle(
      OpenExchange exchange, String method, String allowed, byte[] body, BodyHandler callback) {
    if (!method.equals(allowed)) {
      exchange
          .connection()
          .answer(405, 0, allowed, UserMessages.encodeError("method not allowed"), false);
      return;
    }
    long id = lastExchange.incrementAndGet();
    open.put(id, exchange);
    try {
      callback.accept(id, body);
    } catch (MalformedMessageException e) {
      respond(id, new Answer.Failure(400, e.getMessage(), 0));
    }
  }

  private void submit(long exchange, Map<String, Object> message) throws MalformedMessageException {
    String id = UserMessages.decodeJobId(message);
    Submission submission;
    try {
      submission = new Submission.Parsed(UserMessages.decodeSubmission(message));
    } catch (MalformedMessageException e) {
      submission = new Submission.Malformed(id, e.getMessage());
    }
    events.accept(new Event.Submit(exchange, submission));
  }

  /**
   * Refuses a heartbeat that has waited for so long that its worker would not read the answer: what
   * is left of this node's time goes to those that still can be answered.
   *
   * @return whether it was refused, and needs no answer any more
   */
  public boolean refusedAsLate(Event event) {
    if (!(event instanceof Event.HeartbeatReceived heartbeat) || heartbeat.relayed()) {
      return false;
    }
    OpenExchange exchange = open.get(heartbeat.exchange());
    if (exchange == null
        || clock.getAsLong() < exchange.receivedMicros() + MAX_HEARTBEAT_WAIT_MICROS) {
      return false;
    }
    respond(heartbeat.exchange(), new Answer.Failure(503, "overloaded", 0));
    return true;
  }

  /** Sends the core's answer to an exchange. */
  public void respond(long id, Answer answer) {
    OpenExchange exchange = open.remove(id);
    if (exchange == null) {
      return;
    }
    ServerConnection to = exchange.connection();
    if (answer instanceof Answer.StateServiceStatus status) {
      write(to, 200, PeerMessages.encodeStateServiceStatus(status));
    } else if (answer instanceof Answer.ReachableWorkers reachable) {
      write(to, 200, PeerMessages.encodeHeartbeatDigest(reachable.digest()));
    } else if (answer instanceof Answer.ReplicationAck acked) {
      write(to, 200, PeerMessages.encodeReplicationAck(acked.ack()));
    } else if (answer instanceof Answer.Acknowledged) {
      write(to, 200, EMPTY_ANSWER);
    } else if (exchange.ofPeer()) {
      write(to, 200, PeerMessages.encodeHeartbeatAnswer(answer));
    } else if (answer instanceof Answer.JobView view) {
      write(to, view.status(), UserMessages.encodeJobStatus(view));
    } else if (answer instanceof Answer.Command command) {
      write(
          to, 200, WorkerMessages.encodeHeartbeatAnswer(command.fencingToken(), command.orders()));
    } else if (answer instanceof Answer.Redirect redirect) {
      write(to, 421, WorkerMessages.encodeRedirect(redirect.node()));
    } else if (answer instanceof Answer.Ready ready) {
      write(to, ready.ready() ? 200 : 503, EMPTY_ANSWER);
    } else if (answer instanceof Answer.Failure failure) {
      to.answer(
          failure.status(),
          failure.retryAfterSeconds(),
          null,
          UserMessages.encodeError(failure.reason()),
          false);
    }
  }

  private static void fail(ServerConnection to, int status, String reason) {
    write(to, status, UserMessages.encodeError(reason));
  }

  private static void write(ServerConnection to, int status, byte[] body) {
    to.answer(status, 0, null, body, false);
  }
}
