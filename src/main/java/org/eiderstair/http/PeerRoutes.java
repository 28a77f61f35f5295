package org.eiderstair.http;

import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.peer.PeerMessages;

/** Builds HTTP requests to the other controllers, which the core addresses by name. */
final class PeerRoutes {
  private static final int OK = 200;
  private static final long TIMEOUT_MICROS = 2_500_000;

  private static final OutgoingRequest.ResponseReader RELAY =
      onSuccess(content -> new Reply.Relayed(PeerMessages.decodeHeartbeatAnswer(content)));
  private static final OutgoingRequest.ResponseReader STATE_SERVICE_STATUS =
      onSuccess(PeerMessages::decodeStateServiceStatus);
  private static final OutgoingRequest.ResponseReader MEMBERSHIP =
      onSuccess(PeerMessages::decodeHeartbeatDigest);
  private static final OutgoingRequest.ResponseReader REPLICATION =
      onSuccess(PeerMessages::decodeReplicationAck);
  private static final OutgoingRequest.ResponseReader CANCELLATIONS =
      onSuccess(content -> new Reply.Applied(0));

  private final Map<String, String> addresses;

  PeerRoutes(Map<String, String> addresses) {
    this.addresses = addresses;
  }

  /** Returns a reader that decodes status 200; any other status is a refusal. */
  private static OutgoingRequest.ResponseReader onSuccess(StatusReader.Decoder decoder) {
    return (status, content) -> status == OK ? decoder.decode(content) : new Reply.Refused(status);
  }

  OutgoingRequest relayHeartbeat(Request.PeerRelayHeartbeat relay) throws UnknownPeerException {
    byte[] body = PeerMessages.encodeHeartbeat(relay.heartbeat());
    return post(relay.peer(), PeerMessages.RELAY_PATH, body, RELAY);
  }

  OutgoingRequest stateServiceStatus(Request.PeerStateServiceStatus status)
      throws UnknownPeerException {
    return new OutgoingRequest(
        address(status.peer()),
        OutgoingRequest.GET,
        PeerMessages.STATE_SERVICE_STATUS_PATH,
        null,
        TIMEOUT_MICROS,
        STATE_SERVICE_STATUS);
  }

  OutgoingRequest membership(Request.PeerMembership membership) throws UnknownPeerException {
    byte[] body =
        PeerMessages.encodeMembershipRequest(membership.runId(), membership.afterSequence());
    return post(membership.peer(), PeerMessages.MEMBERSHIP_PATH, body, MEMBERSHIP);
  }

  OutgoingRequest replicate(Request.PeerReplicate replicate) throws UnknownPeerException {
    byte[] body = PeerMessages.encodeReplicationBatch(replicate.batch());
    return post(replicate.peer(), PeerMessages.REPLICATION_PATH, body, REPLICATION);
  }

  OutgoingRequest cancellations(Request.PeerCancellations cancellations)
      throws UnknownPeerException {
    byte[] body = PeerMessages.encodeCancellations(cancellations.cancellations());
    return post(cancellations.peer(), PeerMessages.CANCELLATIONS_PATH, body, CANCELLATIONS);
  }

  private OutgoingRequest post(
      String peer, String path, byte[] body, OutgoingRequest.ResponseReader reader)
      throws UnknownPeerException {
    return new OutgoingRequest(
        address(peer), OutgoingRequest.POST, path, body, TIMEOUT_MICROS, reader);
  }

  private String address(String peer) throws UnknownPeerException {
    String address = addresses.get(peer);
    if (address == null) {
      throw new UnknownPeerException(peer);
    }
    return address;
  }
}
