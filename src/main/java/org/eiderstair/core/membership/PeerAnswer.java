package org.eiderstair.core.membership;

import org.eiderstair.core.message.HeartbeatDigest;

/** The outcome of querying a peer for the machines that it reaches. */
public sealed interface PeerAnswer {
  /** The peer answered with its changes after the known ones. */
  record Digest(HeartbeatDigest digest) implements PeerAnswer {}

  /** The peer runs a version that does not support membership queries. */
  record Unsupported() implements PeerAnswer {}

  /** The query failed, so the peer's state is unknown. */
  record NoAnswer() implements PeerAnswer {}
}
