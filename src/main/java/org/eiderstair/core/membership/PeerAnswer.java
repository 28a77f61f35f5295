package org.eiderstair.core.membership;

import org.eiderstair.core.message.HeartbeatDigest;

/** What came of asking a peer which machines it reaches. */
public sealed interface PeerAnswer {
  /** The changes since the ones that were known. */
  record Digest(HeartbeatDigest digest) implements PeerAnswer {}

  /** The peer is of a version that does not know the question. */
  record Unsupported() implements PeerAnswer {}

  /** No answer came. */
  record NoAnswer() implements PeerAnswer {}
}
