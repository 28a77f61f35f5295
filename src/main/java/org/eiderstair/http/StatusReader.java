package org.eiderstair.http;

import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;

/**
 * Decodes the body of a response with the decoder for its status. A status without a decoder is a
 * refusal, except that a server error other than 503 counts as no response.
 */
final class StatusReader implements OutgoingRequest.ResponseReader {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  /** Decodes the body of a response. */
  interface Decoder {
    Reply decode(byte[] content) throws MalformedMessageException;
  }

  /** Decodes a body that is a MessagePack map. */
  interface MapDecoder {
    Reply decode(Map<String, Object> message) throws MalformedMessageException;
  }

  private final Decoder success;
  private final Decoder conflict;
  private final Decoder notFound;

  private StatusReader(Decoder success, Decoder conflict, Decoder notFound) {
    this.success = success;
    this.conflict = conflict;
    this.notFound = notFound;
  }

  /** Returns a reader that decodes the bodies of statuses 200 and 201. */
  static StatusReader of(Decoder success) {
    return new StatusReader(success, null, null);
  }

  /**
   * Returns a reader that decodes the bodies of statuses 200 and 201, which are maps. An empty body
   * is decoded as an empty map.
   */
  static StatusReader ofMap(MapDecoder success) {
    return of(mapOrEmpty(success));
  }

  /** Returns a reader that also decodes the body of status 409. */
  StatusReader onConflict(Decoder decoder) {
    return new StatusReader(success, decoder, notFound);
  }

  /**
   * Returns a reader that also decodes the body of status 409, which is a map. An empty body is
   * decoded as an empty map.
   */
  StatusReader onConflictMap(MapDecoder decoder) {
    return onConflict(mapOrEmpty(decoder));
  }

  /**
   * Returns a reader that also decodes the body of status 404, which is a map. An empty body is
   * malformed.
   */
  StatusReader onNotFoundMap(MapDecoder decoder) {
    return new StatusReader(
        success, conflict, content -> decoder.decode(MessagePackCodec.readMap(content)));
  }

  private static Decoder mapOrEmpty(MapDecoder decoder) {
    return content ->
        decoder.decode(content.length == 0 ? Map.of() : MessagePackCodec.readMap(content));
  }

  @Override
  public Reply read(int status, byte[] content) throws MalformedMessageException {
    if (status == OK || status == CREATED) {
      return success.decode(content);
    }
    if (status == CONFLICT && conflict != null) {
      return conflict.decode(content);
    }
    if (status == NOT_FOUND && notFound != null) {
      return notFound.decode(content);
    }
    if (status >= SERVER_ERROR && status != UNAVAILABLE) {
      return new Reply.NoResponse("status " + status);
    }
    return new Reply.Refused(status);
  }
}
