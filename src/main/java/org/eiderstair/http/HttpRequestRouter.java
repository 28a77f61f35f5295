package org.eiderstair.http;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Submission;
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.UserMessages;
import org.eiderstair.protocol.WorkerMessages;

/**
 * Serves the requests of users, workers, peers and health checks. It turns each request into an
 * event for the core, and each of the core's answers into a response.
 */
public final class HttpRequestRouter {
  /** The Retry-After of requests that are refused before the core has seen them. */
  private static final int RETRY_AFTER_SECONDS = 1;

  /**
   * How long a heartbeat may wait in this node for its answer. A worker gives up after 4 s,
   * including the time on the network.
   */
  private static final long MAX_HEARTBEAT_WAIT_MICROS = 3_500_000;

  private static final String HEARTBEAT_PATH = "/agent/beat";
  private static final String JOBS_PATH = "/work";
  private static final String CANCEL_SUFFIX = "/cancel";
  private static final byte[] EMPTY_ANSWER = UserMessages.encodeError("");

  /** A request that the core has not answered yet. */
  private record PendingRequest(
      ServerConnection connection,
      RefusalLog.MessageKind kind,
      long receivedMicros,
      int bodyBytes,
      String job) {

    /** Returns the request with the job that it submits. */
    PendingRequest submitting(String submittedJob) {
      return new PendingRequest(connection, kind, receivedMicros, bodyBytes, submittedJob);
    }

    boolean fromPeer() {
      return kind == RefusalLog.MessageKind.PEER_REQUEST;
    }
  }

  private static final int MALFORMED_STATUS = 400;
  private static final int INVALID_STATUS = 422;

  /** Turns a request body into an event. */
  private interface BodyHandler {
    void accept(long exchangeId, byte[] body) throws MalformedMessageException;
  }

  private final Consumer<Event> events;
  private final BooleanSupplier behind;
  private final LongSupplier clock;
  private final RequestIntake intake;
  private final RefusalLog refusals;
  private final AtomicLong lastExchangeId = new AtomicLong();
  private final Map<Long, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

  /**
   * Creates a router that listens to no port yet.
   *
   * @param events receives the event of each request
   * @param behind whether this node is behind with its events; users' polls are then refused,
   *     because their answers can wait longest
   * @param clock a monotonic time in microseconds
   * @param maxBufferedBytes the most bytes of request bodies that are buffered at once; requests
   *     beyond it are refused, so that many large bodies do not exhaust the memory of a small
   *     machine
   */
  public HttpRequestRouter(
      Consumer<Event> events, BooleanSupplier behind, LongSupplier clock, int maxBufferedBytes) {
    this.events = events;
    this.behind = behind;
    this.clock = clock;
    this.intake = new RequestIntake(maxBufferedBytes, clock);
    this.refusals = new RefusalLog(clock);
  }

  /** Listens for users and workers, and returns the port; port 0 lets the system choose one. */
  public int listen(Sockets sockets, String host, int port, ConnectionBudget budget)
      throws IOException {
    return sockets.listen(host, port, budget, new PublicProcessor());
  }

  /** Listens for the other controllers, without a limit on their connections. */
  public void listenForPeers(Sockets sockets, String host, int port) throws IOException {
    sockets.listen(host, port, ConnectionBudget.unlimited(), new PeerProcessor());
  }

  /** Refuses requests and limits the buffered bytes, alike for all listeners. */
  private abstract class CommonProcessor implements ServerConnection.RequestProcessor {
    @Override
    public void refuse(
        ServerConnection connection, String method, String path, int status, String reason) {
      connection.answer(
          status,
          status == 503 ? RETRY_AFTER_SECONDS : 0,
          null,
          UserMessages.encodeError(reason),
          true);
    }

    @Override
    public RequestIntake intake() {
      return intake;
    }
  }

  /** Processes the requests of users, workers and health checks, in MessagePack. */
  private final class PublicProcessor extends CommonProcessor {
    @Override
    public int maxBodyBytes(String path) {
      return UserMessages.MAX_BYTES;
    }

    @Override
    public boolean isHeartbeat(String path) {
      return path.equals(HEARTBEAT_PATH);
    }

    @Override
    public void process(ServerConnection connection, String method, String path, byte[] body) {
      PendingRequest request = newRequest(connection, kind(path), body);
      switch (path) {
        case "/ready" ->
            handle(
                request,
                method,
                "GET",
                body,
                (id, content) -> events.accept(new Event.ReadyProbe(id)));
        case HEARTBEAT_PATH ->
            handle(
                request,
                method,
                "POST",
                body,
                (id, content) ->
                    events.accept(
                        new Event.HeartbeatReceived(
                            id, WorkerMessages.decodeHeartbeat(content), false)));
        case JOBS_PATH ->
            handle(
                request,
                method,
                "POST",
                body,
                (id, content) -> submit(id, UserMessages.readSubmission(content)));
        default -> handleJobRequest(request, path, method, body);
      }
    }
  }

  /** Processes the requests of the other controllers, in Avro. */
  private final class PeerProcessor extends CommonProcessor {
    @Override
    public int maxBodyBytes(String path) {
      return PeerMessages.MAX_BYTES;
    }

    @Override
    public boolean isHeartbeat(String path) {
      return false;
    }

    @Override
    public void process(ServerConnection connection, String method, String path, byte[] body) {
      PendingRequest request = newRequest(connection, RefusalLog.MessageKind.PEER_REQUEST, body);
      if (path.equals(PeerMessages.STATE_SERVICE_STATUS_PATH)) {
        handle(
            request,
            method,
            "GET",
            body,
            (id, content) -> events.accept(new Event.StateServiceStatusRequested(id)));
      } else if (path.equals(PeerMessages.MEMBERSHIP_PATH)) {
        handle(
            request,
            method,
            "POST",
            body,
            (id, content) -> events.accept(PeerMessages.decodeMembershipRequest(id, content)));
      } else if (path.equals(PeerMessages.REPLICATION_PATH)) {
        handle(
            request,
            method,
            "POST",
            body,
            (id, content) ->
                events.accept(
                    new Event.ReplicationReceived(
                        id, PeerMessages.decodeReplicationBatch(content))));
      } else if (path.equals(PeerMessages.CANCELLATIONS_PATH)) {
        handle(
            request,
            method,
            "POST",
            body,
            (id, content) ->
                events.accept(
                    new Event.CancellationsReceived(
                        id, PeerMessages.decodeCancellations(content))));
      } else if (path.equals(PeerMessages.RELAY_PATH)) {
        handle(
            request,
            method,
            "POST",
            body,
            (id, content) ->
                events.accept(
                    new Event.HeartbeatReceived(id, PeerMessages.decodeHeartbeat(content), true)));
      } else {
        sendError(connection, 404, "no such path");
      }
    }
  }

  private PendingRequest newRequest(
      ServerConnection connection, RefusalLog.MessageKind kind, byte[] body) {
    return new PendingRequest(connection, kind, clock.getAsLong(), body.length, null);
  }

  private static RefusalLog.MessageKind kind(String path) {
    return switch (path) {
      case HEARTBEAT_PATH -> RefusalLog.MessageKind.HEARTBEAT;
      case JOBS_PATH -> RefusalLog.MessageKind.SUBMISSION;
      default -> RefusalLog.MessageKind.OTHER_REQUEST;
    };
  }

  private void handleJobRequest(PendingRequest request, String path, String method, byte[] body) {
    if (!path.startsWith(JOBS_PATH + "/")) {
      sendError(request.connection(), 404, "no such path");
      return;
    }
    String rest = path.substring(JOBS_PATH.length() + 1);
    boolean cancel = rest.endsWith(CANCEL_SUFFIX);
    String id = cancel ? rest.substring(0, rest.length() - CANCEL_SUFFIX.length()) : rest;
    if (!UserMessages.isJobId(id)) {
      sendError(request.connection(), 404, "no such job");
    } else if (cancel) {
      handle(
          request,
          method,
          "POST",
          body,
          (exchangeId, content) -> events.accept(new Event.Cancel(exchangeId, id)));
    } else if (behind.getAsBoolean() && method.equals("GET")) {
      request
          .connection()
          .answer(503, RETRY_AFTER_SECONDS, null, UserMessages.encodeError("overloaded"), false);
    } else {
      handle(
          request,
          method,
          "GET",
          body,
          (exchangeId, content) -> events.accept(new Event.Poll(exchangeId, id)));
    }
  }

  /** Gives the core the event of a request, or refuses a method that is not the allowed one. */
  private void handle(
      PendingRequest request,
      String method,
      String allowedMethod,
      byte[] body,
      BodyHandler handler) {
    if (!method.equals(allowedMethod)) {
      request
          .connection()
          .answer(405, 0, allowedMethod, UserMessages.encodeError("method not allowed"), false);
      return;
    }
    long id = lastExchangeId.incrementAndGet();
    pendingRequests.put(id, request);
    try {
      handler.accept(id, body);
    } catch (MalformedMessageException e) {
      refusals.unreadable(request.kind(), request.connection().remoteAddress(), body, e);
      respond(id, new Answer.Failure(MALFORMED_STATUS, e.getMessage(), 0));
    }
  }

  private void submit(long exchangeId, Map<String, Object> message)
      throws MalformedMessageException {
    String id = UserMessages.decodeJobId(message);
    pendingRequests.computeIfPresent(exchangeId, (exchange, request) -> request.submitting(id));
    Submission submission;
    try {
      submission = new Submission.Parsed(UserMessages.decodeSubmission(message));
    } catch (MalformedMessageException e) {
      submission = new Submission.Malformed(id, e.getMessage());
    }
    events.accept(new Event.Submit(exchangeId, submission));
  }

  /**
   * Refuses a heartbeat that has waited too long, because its worker no longer reads the answer.
   * The node can then spend its time on heartbeats that can still be answered. Relayed heartbeats
   * are never refused here.
   *
   * @return whether the event was refused; the core must then not handle it
   */
  public boolean refuseIfLate(Event event) {
    if (!(event instanceof Event.HeartbeatReceived heartbeat) || heartbeat.relayed()) {
      return false;
    }
    PendingRequest request = pendingRequests.get(heartbeat.exchange());
    if (request == null
        || clock.getAsLong() < request.receivedMicros() + MAX_HEARTBEAT_WAIT_MICROS) {
      return false;
    }
    respond(heartbeat.exchange(), new Answer.Failure(503, "overloaded", 0));
    return true;
  }

  /** Returns the bytes of request bodies that are held now. */
  int heldBytes() {
    return intake.heldBytes();
  }

  /** Returns the number of refused messages by kind and reason since the previous call. */
  public String takeRefusals() {
    return refusals.takeCounts();
  }

  /** Closes the connections whose requests took too long to arrive. Called periodically. */
  public void closeSlowConnections(long nowMicros) {
    intake.closeExpired(nowMicros);
  }

  /** Sends the core's answer to an exchange; does nothing if the exchange was answered already. */
  public void respond(long id, Answer answer) {
    PendingRequest request = pendingRequests.remove(id);
    if (request == null) {
      return;
    }
    ServerConnection connection = request.connection();
    if (answer instanceof Answer.StateServiceStatus status) {
      write(connection, 200, PeerMessages.encodeStateServiceStatus(status));
    } else if (answer instanceof Answer.ReachableWorkers reachable) {
      write(connection, 200, PeerMessages.encodeHeartbeatDigest(reachable.digest()));
    } else if (answer instanceof Answer.ReplicationAck acked) {
      write(connection, 200, PeerMessages.encodeReplicationAck(acked.ack()));
    } else if (answer instanceof Answer.Acknowledged) {
      write(connection, 200, EMPTY_ANSWER);
    } else if (request.fromPeer()) {
      write(connection, 200, PeerMessages.encodeHeartbeatAnswer(answer));
    } else if (answer instanceof Answer.JobView view) {
      write(connection, view.status(), UserMessages.encodeJobStatus(view));
    } else if (answer instanceof Answer.Command command) {
      write(
          connection,
          200,
          WorkerMessages.encodeHeartbeatAnswer(command.fencingToken(), command.orders()));
    } else if (answer instanceof Answer.Redirect redirect) {
      write(connection, 421, WorkerMessages.encodeRedirect(redirect.node()));
    } else if (answer instanceof Answer.Ready ready) {
      write(connection, ready.ready() ? 200 : 503, EMPTY_ANSWER);
    } else if (answer instanceof Answer.Failure failure) {
      logIfFinal(request, failure);
      connection.answer(
          failure.status(),
          failure.retryAfterSeconds(),
          null,
          UserMessages.encodeError(failure.reason()),
          false);
    }
  }

  private void logIfFinal(PendingRequest request, Answer.Failure failure) {
    boolean isFinal = failure.status() == MALFORMED_STATUS || failure.status() == INVALID_STATUS;
    if (isFinal && request.job() != null) {
      refusals.refused(request.job(), failure.status(), failure.reason(), request.bodyBytes());
    }
  }

  private static void sendError(ServerConnection connection, int status, String reason) {
    write(connection, status, UserMessages.encodeError(reason));
  }

  private static void write(ServerConnection connection, int status, byte[] body) {
    connection.answer(status, 0, null, body, false);
  }
}
