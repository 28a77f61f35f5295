package org.eiderstair.http;

/**
 * An outgoing request that waits for its response. The exchange ends when the response arrives, the
 * time limit passes or the connection closes.
 */
final class Exchange {
  static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  /** The core's identifier of the request, which its reply repeats. */
  final long callId;

  final Destination destination;
  final OutgoingRequest request;
  final long deadlineMicros;

  /** Null until a connection takes the request. Guarded by the {@link HttpClientPool}. */
  ClientConnection connection;

  /** Whether the outcome of the exchange is decided. */
  boolean ended;

  Exchange(long callId, Destination destination, OutgoingRequest request, long deadlineMicros) {
    this.callId = callId;
    this.destination = destination;
    this.request = request;
    this.deadlineMicros = deadlineMicros;
  }
}
