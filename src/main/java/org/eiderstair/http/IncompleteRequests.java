package org.eiderstair.http;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The inbound connections on which a request is still awaited or has arrived only in part. A sender
 * has a limited time from the first byte of a request to its last. Where memory or sockets are
 * short, the slowest sender gives way to the others, so that unfinished requests never take what
 * complete ones need.
 *
 * <p>This class is safe for use by several threads.
 */
final class IncompleteRequests {
  /** A user waits for five seconds, and a worker for four. */
  static final long MAX_READ_MICROS = 5_000_000;

  /** A request that arrives within this time never gives way to another one. */
  static final long QUICK_MICROS = 500_000;

  /** The time of the first byte of each request that has arrived in part, the earliest first. */
  private final Map<ServerConnection, Long> begun = new LinkedHashMap<>();

  /** The time at which each connection without any request was opened, the earliest first. */
  private final Map<ServerConnection, Long> unused = new LinkedHashMap<>();

  synchronized void opened(ServerConnection connection, long nowMicros) {
    unused.put(connection, nowMicros);
  }

  /** Records the first byte of a request. */
  synchronized void begin(ServerConnection connection, long nowMicros) {
    unused.remove(connection);
    begun.putIfAbsent(connection, nowMicros);
  }

  /** Records that a request is complete or refused, or that its connection is closed. */
  synchronized void end(ServerConnection connection) {
    unused.remove(connection);
    begun.remove(connection);
  }

  /** Removes and returns the connections whose request took too long to arrive. */
  synchronized List<ServerConnection> takeExpired(long nowMicros) {
    List<ServerConnection> expired = new ArrayList<>();
    ServerConnection slowest = takeIfOlder(begun, MAX_READ_MICROS, nowMicros);
    while (slowest != null) {
      expired.add(slowest);
      slowest = takeIfOlder(begun, MAX_READ_MICROS, nowMicros);
    }
    return expired;
  }

  /** Removes and returns the slowest sender of a request; null if all are quick. */
  synchronized ServerConnection takeSlowestRequest(long nowMicros) {
    return takeIfOlder(begun, QUICK_MICROS, nowMicros);
  }

  /**
   * Removes and returns the connection on which nothing has arrived for the longest time; null if
   * that is shorter than a request may take. An overloaded node reads what has arrived only later.
   */
  synchronized ServerConnection takeUnused(long nowMicros) {
    return takeIfOlder(unused, MAX_READ_MICROS, nowMicros);
  }

  private static ServerConnection takeIfOlder(
      Map<ServerConnection, Long> connections, long ageMicros, long nowMicros) {
    Iterator<Map.Entry<ServerConnection, Long>> earliest = connections.entrySet().iterator();
    if (!earliest.hasNext()) {
      return null;
    }
    Map.Entry<ServerConnection, Long> entry = earliest.next();
    if (nowMicros < entry.getValue() + ageMicros) {
      return null;
    }
    earliest.remove();
    return entry.getKey();
  }
}
