package org.eiderstair.http;

import org.eiderstair.core.message.Reply;
import org.eiderstair.protocol.MalformedMessageException;

/** An HTTP request of this node to another service, and the reader of its response. */
final class OutgoingRequest {
  static final String GET = "GET";
  static final String POST = "POST";
  static final String DELETE = "DELETE";

  /** Turns a complete response into the reply for the core. */
  interface ResponseReader {
    Reply read(int status, byte[] content) throws MalformedMessageException;
  }

  final String address;
  final String method;
  final String path;

  /** The body; null if the request has none. */
  final byte[] body;

  final long timeoutMicros;
  final ResponseReader reader;

  OutgoingRequest(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      ResponseReader reader) {
    this.address = address;
    this.method = method;
    this.path = path;
    this.body = body;
    this.timeoutMicros = timeoutMicros;
    this.reader = reader;
  }
}
