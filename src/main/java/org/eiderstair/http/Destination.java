package org.eiderstair.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * An address that requests go to, with its connections. Guarded by the owner of all connections.
 */
final class Destination {
  final String address;
  final InetSocketAddress socket;

  /** Connections that may take an exchange, the one used last in front. */
  final ArrayDeque<ClientConnection> free = new ArrayDeque<>();

  final ArrayDeque<Exchange> waiting = new ArrayDeque<>();

  /** Connections, those being made included. */
  int connections;

  Destination(String address) {
    this.address = address;
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address, colon + 1, address.length(), 10);
    // Addresses are literals; a worker's that is none must not cost a look-up, on the thread that
    // owns the core at that.
    socket =
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

  boolean unused() {
    return connections == 0 && waiting.isEmpty();
  }
}
