package org.eiderstair.http;

/** Thrown when a request names a peer that is not in the settings. */
final class UnknownPeerException extends Exception {
  private static final long serialVersionUID = 1;

  UnknownPeerException(String name) {
    super("unknown peer " + name);
  }
}
