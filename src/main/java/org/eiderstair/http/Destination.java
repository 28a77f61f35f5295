package org.eiderstair.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.eclipse.jetty.http.HostPortHttpField;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.PreEncodedHttpField;

/** An address that requests go to, with its connections. Guarded by the owner of all connections. */
final class Destination {
  private static final HttpField TYPE = new PreEncodedHttpField(HttpHeader.CONTENT_TYPE, "application/msgpack");

  final String address;
  final InetSocketAddress socket;
  final HttpFields plain;
  final HttpFields withBody;
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
    HttpField to = new HostPortHttpField(host, port);
    plain = HttpFields.build().add(to).asImmutable();
    withBody = HttpFields.build().add(to).add(TYPE).asImmutable();
  }

  boolean unused() {
    return connections == 0 && waiting.isEmpty();
  }
}
