package org.eiderstair.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Writes the heads of requests and responses, of which there are only a few kinds. Jetty's
 * generator also supports dates, locales and URIs, which takes 60 ms of processor time at the
 * start.
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
  private static final byte[][] STATUS_LINES = new byte[600][];

  private HttpHeads() {}

  /** Writes a request's head; {@code path} is already encoded for the request line. */
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
      putNumber(to, length);
    }
    to.put(END).flip();
  }

  /**
   * Writes a response's head.
   *
   * @param retryAfterSeconds the value of Retry-After; 0 for none
   * @param allow the value of Allow; null for none
   */
  static void response(
      ByteBuffer to, int status, int retryAfterSeconds, String allow, int length, boolean close) {
    to.clear();
    to.put(VERSION).put(statusLine(status)).put(TYPE);
    if (retryAfterSeconds > 0) {
      to.put(RETRY_AFTER);
      putNumber(to, retryAfterSeconds);
    }
    if (allow != null) {
      to.put(ALLOW);
      put(to, allow);
    }
    if (close) {
      to.put(CLOSE);
    }
    to.put(LENGTH);
    putNumber(to, length);
    to.put(END).flip();
  }

  /** Writes the interim response 100 Continue. */
  static void interimResponse(ByteBuffer to) {
    to.clear().put(CONTINUE).flip();
  }

  private static byte[] statusLine(int status) {
    byte[] line = STATUS_LINES[status];
    if (line == null) {
      String reason = HttpStatus.getMessage(status);
      line = ascii(status + " " + reason);
      STATUS_LINES[status] = line;
    }
    return line;
  }

  /**
   * Writes printable ASCII. All texts come from this program: paths are encoded, and hosts are IP
   * addresses.
   */
  private static void put(ByteBuffer to, String text) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character <= ' ' || character > '~') {
        throw new IllegalArgumentException("invalid character in message head: " + text);
      }
      to.put((byte) character);
    }
  }

  private static void putNumber(ByteBuffer to, int number) {
    if (number >= 10) {
      putNumber(to, number / 10);
    }
    to.put((byte) ('0' + number % 10));
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
