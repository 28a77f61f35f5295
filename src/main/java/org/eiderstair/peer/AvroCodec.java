package org.eiderstair.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.message.BinaryMessageDecoder;
import org.apache.avro.message.BinaryMessageEncoder;
import org.eiderstair.protocol.MalformedMessageException;

/** Converts records to and from the single-object encoding of Avro. */
final class AvroCodec {
  private AvroCodec() {}

  /** Encodes a record. */
  static <T> byte[] encode(BinaryMessageEncoder<T> encoder, T message) {
    try {
      ByteBuffer buffer = encoder.encode(message);
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      return bytes;
    } catch (IOException e) {
      throw new IllegalStateException("encoding a message to memory failed", e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param expected a noun phrase for the expected record, for the exception's message
   * @throws MalformedMessageException if the bytes are not a record that the decoder can read
   */
  static <T> T decode(BinaryMessageDecoder<T> decoder, byte[] bytes, String expected)
      throws MalformedMessageException {
    try {
      return decoder.decode(bytes);
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not " + expected + ": " + e.getMessage());
    }
  }
}
