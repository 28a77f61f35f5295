package org.eiderstair.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Writes the heads of messages, of which there are only a few kinds. Jetty's generator writes any,
 * and brings dates, locales and URIs for it: 60 ms of processor time of a start.
 */
final class HttpHeads {
  private static final byte[] VERSION = ascii("HTTP/1.1 ");
  private static final byte[] TYPE = ascii("\r\nContent-Type: application/msgpack");
  private static final byte[] LENGTH = ascii("\r\nContent-Length: ");
  private static final byte[] CLOSE = ascii("\r\nConnection: close");
  private static final byte[] RETRY_AFTER = ascii("\r\nRetry-After: ");
  private static final byte[] ALLOW = ascii("\r\nAllow: ");
  private static final byte[] HOST = ascii(" HTTP/1.1\r\nHost: ");
  private static final byte[] END = ascii("\r\n\r\n");
  private static final byte[] CONTINUE = ascii("HTTP/1.1 100 Continue\r\n\r\n");
  private static final byte[][] STATUSES = new byte[600][];

  private HttpHeads() {}

  /** A request's head, for a target as it goes into the request line. */
  static void request(
      ByteBuffer to, String method, String path, String host, int length, boolean hasBody) {
    to.clear();
    put(to, method);
    to.put((byte) ' ');
    put(to, path);
    to.put(HOST);
    put(to, host);
    if (hasBody) {
      to.put(TYPE).put(LENGTH);
      number(to, length);
    }
    to.put(END).flip();
  }

  /**
   * A response's head; {@code retryAfterS} of 0 and {@code allow} of null say that there is none.
   */
  static void response(
      ByteBuffer to, int status, int retryAfterS, String allow, int length, boolean close) {
    to.clear();
    to.put(VERSION).put(status(status)).put(TYPE);
    if (retryAfterS > 0) {
      to.put(RETRY_AFTER);
      number(to, retryAfterS);
    }
    if (allow != null) {
      to.put(ALLOW);
      put(to, allow);
    }
    if (close) {
      to.put(CLOSE);
    }
    to.put(LENGTH);
    number(to, length);
    to.put(END).flip();
  }

  static void interimResponse(ByteBuffer to) {
    to.clear().put(CONTINUE).flip();
  }

  private static byte[] status(int status) {
    byte[] line = STATUSES[status];
    if (line == null) {
      String reason = HttpStatus.getMessage(status);
      line = ascii(status + " " + reason);
      STATUSES[status] = line;
    }
    return line;
  }

  /** Only what this program makes itself comes here: paths are encoded and hosts are numbers. */
  private static void put(ByteBuffer to, String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c <= ' ' || c > '~') {
        throw new IllegalArgumentException("not for a head: " + text);
      }
      to.put((byte) c);
    }
  }

  private static void number(ByteBuffer to, int number) {
    if (number >= 10) {
      number(to, number / 10);
    }
    to.put((byte) ('0' + number % 10));
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
