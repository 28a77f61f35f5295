package org.eiderstair.http;

import org.eclipse.jetty.http.MetaData;

/** A request on its way, until its response has come, or its time or its connection is over. */
final class Exchange {
  static final int MOST_BYTES = 8 * 1024 * 1024;

  /** What to do with a complete response, or without one. */
  interface Outcome {
    void completed(int status, byte[] content);

    void failed(String why);
  }

  private final Destination destination;
  private final MetaData.Request request;
  private final byte[] body;
  private final Outcome outcome;
  final long deadlineMicros;
  /** Guarded by the owner of all connections. */
  AskedConnection connection;
  boolean over;

  Exchange(Destination destination, MetaData.Request request, byte[] body, long deadlineMicros, Outcome outcome) {
    this.destination = destination;
    this.request = request;
    this.body = body;
    this.deadlineMicros = deadlineMicros;
    this.outcome = outcome;
  }

  Destination destination() {
    return destination;
  }

  MetaData.Request request() {
    return request;
  }

  byte[] body() {
    return body;
  }

  Outcome outcome() {
    return outcome;
  }
}
