package org.eiderstair.sim;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;

/** Sends the requests of controllers over the network to their receivers, and the replies back. */
final class RequestTransport {
  static final String STATE_SERVICE = "state";
  static final String CLOUD = "cloud";
  private static final long TIMEOUT_MICROS = 2_000_000;
  private static final long CLOUD_CHANGE_TIMEOUT_MICROS = 5_000_000;

  private final SimulatedCluster cluster;

  RequestTransport(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns the time after which the sender gives up on a request. */
  static long timeoutMicros(Request request) {
    if (request instanceof Request.StoreWatch watch) {
      return watch.maxWaitMicros() + TIMEOUT_MICROS;
    }
    return request instanceof Request.CloudRent || request instanceof Request.CloudDelete
        ? CLOUD_CHANGE_TIMEOUT_MICROS
        : TIMEOUT_MICROS;
  }

  /** Sends a request; {@code callback} is not called if the request or its reply is lost. */
  void send(SimulatedController from, Request request, Consumer<Reply> callback) {
    if (request instanceof Request.WorkerCommands commands) {
      sendToWorker(from, commands.address(), request, callback);
    } else if (request instanceof Request.WorkerStatus status) {
      sendToWorker(from, status.address(), request, callback);
    } else if (request instanceof Request.PeerRelayHeartbeat relay) {
      sendToPeer(
          from,
          relay.peer(),
          exchange -> new Event.HeartbeatReceived(exchange, relay.heartbeat(), true),
          Reply.Relayed::new,
          callback);
    } else if (request instanceof Request.PeerMembership membership) {
      sendToPeer(
          from,
          membership.peer(),
          exchange ->
              new Event.MembershipRequested(
                  exchange, membership.runId(), membership.afterSequence()),
          answer -> new Reply.PeerMembership(((Answer.ReachableWorkers) answer).digest()),
          callback);
    } else if (request instanceof Request.PeerReplicate replicate) {
      sendToPeer(
          from,
          replicate.peer(),
          exchange -> new Event.ReplicationReceived(exchange, replicate.batch()),
          answer -> new Reply.ReplicationAck(((Answer.ReplicationAck) answer).ack()),
          callback);
    } else if (request instanceof Request.PeerCancellations cancellations) {
      sendCancellations(from, cancellations, callback);
    } else if (request instanceof Request.PeerStateServiceStatus status) {
      sendToPeer(
          from,
          status.peer(),
          Event.StateServiceStatusRequested::new,
          RequestTransport::toStateServiceStatus,
          callback);
    } else if (isForCloud(request)) {
      sendToCloud(from, request, callback);
    } else {
      sendToStateService(from, request, callback);
    }
  }

  private static boolean isForCloud(Request request) {
    return request instanceof Request.CloudRent
        || request instanceof Request.CloudDelete
        || request instanceof Request.CloudList
        || request instanceof Request.CloudCatalog;
  }

  private static Reply toStateServiceStatus(Answer answer) {
    Answer.StateServiceStatus status = (Answer.StateServiceStatus) answer;
    return new Reply.PeerStateServiceStatus(status.served(), status.leader(), status.term());
  }

  /** Sends a command or status request to a worker; a delayed request is not answered. */
  private void sendToWorker(
      SimulatedController from, String worker, Request request, Consumer<Reply> callback) {
    long delayMicros = cluster.faults.commandDelayMicros();
    Consumer<Reply> onReply =
        delayMicros > 0
            ? unanswered -> {}
            : reply -> cluster.network.send(worker, from.name(), () -> callback.accept(reply));
    cluster.network.send(
        from.name(),
        worker,
        () ->
            cluster.clock.after(
                delayMicros,
                () ->
                    deliver(
                        worker,
                        request,
                        onReply.andThen(reply -> duplicateIfExecuted(worker, request, reply)))));
  }

  private void deliver(String worker, Request request, Consumer<Reply> callback) {
    SimulatedWorker receiver = cluster.cloud.worker(worker);
    if (receiver != null) {
      receiver.receive(request, callback);
    }
  }

  private void duplicateIfExecuted(String worker, Request request, Reply reply) {
    if (reply instanceof Reply.WorkerStatus status && status.executed()) {
      cluster.faults.onCommandExecuted(() -> deliver(worker, request, unanswered -> {}));
    }
  }

  private void sendToPeer(
      SimulatedController from,
      String peer,
      LongFunction<Event> event,
      Function<Answer, Reply> toReply,
      Consumer<Reply> callback) {
    cluster.network.send(
        from.name(),
        peer,
        () ->
            cluster
                .controller(peer)
                .receive(
                    event,
                    answer ->
                        cluster.network.send(
                            peer, from.name(), () -> callback.accept(toReply.apply(answer)))));
  }

  private void sendCancellations(
      SimulatedController from, Request.PeerCancellations request, Consumer<Reply> callback) {
    if (cluster.defects.peerCancellationsLost) {
      cluster.trace("lost: " + request);
      return;
    }
    sendToPeer(
        from,
        request.peer(),
        exchange -> new Event.CancellationsReceived(exchange, request.cancellations()),
        answer -> new Reply.Applied(0),
        callback);
  }

  private void sendToCloud(SimulatedController from, Request request, Consumer<Reply> callback) {
    Map<String, Long> releaseTerms = cluster.rules.checkWrittenBeforeRequest(request);
    boolean isChange =
        request instanceof Request.CloudRent || request instanceof Request.CloudDelete;
    long delayMicros = isChange ? cluster.faults.cloudChangeDelayMicros() : 0;
    Consumer<Reply> onReply =
        delayMicros > 0
            ? unanswered -> {}
            : reply -> cluster.network.send(CLOUD, from.name(), () -> callback.accept(reply));
    Runnable serve = () -> cluster.cloud.serve(request, releaseTerms, onReply);
    cluster.network.send(
        from.name(),
        CLOUD,
        delayMicros > 0 ? () -> cluster.clock.after(delayMicros, serve) : serve);
  }

  private void sendToStateService(
      SimulatedController from, Request request, Consumer<Reply> callback) {
    cluster.network.send(
        from.name(),
        STATE_SERVICE,
        () ->
            cluster.clock.after(
                cluster.faults.stateServiceDelayMicros(),
                () ->
                    cluster.state.serve(
                        from.name(),
                        request,
                        reply ->
                            cluster.network.send(
                                STATE_SERVICE, from.name(), () -> callback.accept(reply)))));
  }
}
