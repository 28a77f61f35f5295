package org.eiderstair.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** An address that requests go to, with its connections. Guarded by the owner of all connections. */
final class Destination {
  final String address;
  final InetSocketAddress socket;
  /** Connections that may take an exchange, the one used last in front. */
  final ArrayDeque<AskedConnection> free = new ArrayDeque<>();
  final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
  /** Connections, those being made included. */
  int connections;

  Destination(String address) {
    this.address = address;
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address, colon + 1, address.length(), 10);
    // Addresses are literals: no look-up, and no thread for one.
    socket = new InetSocketAddress(host, port);
  }

  boolean unused() {
    return connections == 0 && waiting.isEmpty();
  }
}
