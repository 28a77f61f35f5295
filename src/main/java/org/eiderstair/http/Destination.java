package org.eiderstair.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * An address that requests are sent to, with its connections and the requests that wait for one.
 * Mutable state is guarded by the {@link HttpClientPool}.
 */
final class Destination {
  final String address;
  final InetSocketAddress socketAddress;

  /** Open connections without an exchange, the one used last first. */
  final ArrayDeque<ClientConnection> freeConnections = new ArrayDeque<>();

  /** Exchanges that wait for a connection, in their order. */
  final ArrayDeque<Exchange> waitingExchanges = new ArrayDeque<>();

  /** The number of connections, including those that are being made. */
  int connectionCount;

  Destination(String address) {
    this.address = address;
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address, colon + 1, address.length(), 10);
    // Addresses are expected to be IP literals. A worker that reports a host name must not cause a
    // DNS lookup, which would block the thread that owns the core.
    socketAddress =
        isLiteral(host)
            ? new InetSocketAddress(host, port)
            : InetSocketAddress.createUnresolved(host, port);
  }

  private static boolean isLiteral(String host) {
    for (int i = 0; i < host.length(); i++) {
      char character = host.charAt(i);
      if (character != '.'
          && character != ':'
          && character != '['
          && character != ']'
          && Character.digit(character, 16) < 0) {
        return false;
      }
    }
    return (host.indexOf('.') > 0 && Character.isDigit(host.charAt(0))) || host.indexOf(':') >= 0;
  }

  /** Returns whether there is neither a connection nor a waiting exchange. */
  boolean isUnused() {
    return connectionCount == 0 && waitingExchanges.isEmpty();
  }
}
