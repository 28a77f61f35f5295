package org.eiderstair.config;

import java.util.Optional;

/** A network address, written as {@code host:port}. */
record HostAndPort(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Returns the parsed address; empty if the text does not have the form {@code host:port}, or if
   * the port is above 65535.
   */
  static Optional<HostAndPort> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port <= MAX_PORT
          ? Optional.of(new HostAndPort(text.substring(0, colon), port))
          : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
