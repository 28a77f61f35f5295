package org.eiderstair.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * Limits the memory and the time that requests may take to arrive, for all listeners of a node
 * together. A sender that is slow gives way to those that are quick.
 */
final class RequestIntake {
  /** One part in so many of the memory is kept for bodies that arrive at once. */
  private static final int RESERVE_DIVISOR = 10;

  private final int maxBytes;
  private final int maxIncompleteBytes;
  private final LongSupplier clock;
  private final AtomicInteger heldBytes = new AtomicInteger();
  private final IncompleteRequests incomplete = new IncompleteRequests();

  /**
   * Creates an intake without requests.
   *
   * @param maxBytes the most bytes of request bodies that are held at once
   * @param clock a monotonic time in microseconds
   */
  RequestIntake(int maxBytes, LongSupplier clock) {
    this.maxBytes = maxBytes;
    this.maxIncompleteBytes = maxBytes / RESERVE_DIVISOR * (RESERVE_DIVISOR - 1);
    this.clock = clock;
  }

  /** Records a new connection, on which no request has begun. */
  void opened(ServerConnection connection) {
    incomplete.opened(connection, clock.getAsLong());
  }

  /** Records the first byte of a request. */
  void begin(ServerConnection connection) {
    incomplete.begin(connection, clock.getAsLong());
  }

  /** Records that a request is complete or refused, or that its connection is closed. */
  void end(ServerConnection connection) {
    incomplete.end(connection);
  }

  /**
   * Reserves memory for bytes of a body until {@link #release} is called. Where it is short, the
   * slowest other sender gives way. Returns false, and reserves nothing, if all are quick.
   *
   * @param completesBody whether the body is complete with these bytes
   */
  boolean reserve(int bytes, boolean completesBody) {
    int limit = completesBody ? maxBytes : maxIncompleteBytes;
    while (heldBytes.addAndGet(bytes) > limit) {
      heldBytes.addAndGet(-bytes);
      ServerConnection slowest = incomplete.takeSlowestRequest(clock.getAsLong());
      if (slowest == null) {
        return false;
      }
      slowest.abort();
    }
    return true;
  }

  /** Releases memory that {@link #reserve} reserved. */
  void release(int bytes) {
    heldBytes.addAndGet(-bytes);
  }

  /** Returns the bytes of request bodies that are held now. */
  int heldBytes() {
    return heldBytes.get();
  }

  /** Closes a connection that was never used, to free a socket; returns false if there is none. */
  boolean closeUnusedConnection() {
    ServerConnection unused = incomplete.takeUnused(clock.getAsLong());
    if (unused == null) {
      return false;
    }
    unused.abort();
    return true;
  }

  /** Closes the connections whose requests took too long to arrive. */
  void closeExpired(long nowMicros) {
    incomplete.takeExpired(nowMicros).forEach(ServerConnection::abort);
  }
}
