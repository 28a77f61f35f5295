package org.eiderstair.http;

/**
 * A request on its way, until its response has come, its time limit has passed or its connection
 * was closed.
 */
final class Exchange {
  static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  /** What to do with a complete response, or without one. */
  interface Outcome {
    void completed(int status, byte[] content);

    void failed(String why);
  }

  private final Destination destination;
  private final String method;
  private final String path;
  private final byte[] body;
  private final Outcome outcome;
  final long deadlineMicros;

  /** Guarded by the owner of all connections. */
  ClientConnection connection;

  boolean ended;

  /** The body is null when there is none. */
  Exchange(
      Destination destination,
      String method,
      String path,
      byte[] body,
      long deadlineMicros,
      Outcome outcome) {
    this.destination = destination;
    this.method = method;
    this.path = path;
    this.body = body;
    this.deadlineMicros = deadlineMicros;
    this.outcome = outcome;
  }

  Destination destination() {
    return destination;
  }

  String method() {
    return method;
  }

  String path() {
    return path;
  }

  byte[] body() {
    return body;
  }

  Outcome outcome() {
    return outcome;
  }
}
