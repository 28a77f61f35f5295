package org.eiderstair.http;

/**
 * A request on its way, until its response has come, its time limit has passed or its connection
 * was closed.
 */
final class Exchange {
  static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  /** The core's identifier of the request, for its reply. */
  final long call;

  final Destination destination;
  final OutgoingRequest request;
  final long deadlineMicros;

  /** Guarded by the owner of all connections. */
  ClientConnection connection;

  boolean ended;

  Exchange(long call, Destination destination, OutgoingRequest request, long deadlineMicros) {
    this.call = call;
    this.destination = destination;
    this.request = request;
    this.deadlineMicros = deadlineMicros;
  }
}
