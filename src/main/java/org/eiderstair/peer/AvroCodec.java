package org.eiderstair.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.message.BinaryMessageDecoder;
import org.apache.avro.message.BinaryMessageEncoder;
import org.eiderstair.protocol.MalformedMessageException;

/** Records to and from Avro's single-object encoding. */
final class AvroCodec {
  private AvroCodec() {}

  static <T> byte[] encode(BinaryMessageEncoder<T> encoder, T message) {
    try {
      ByteBuffer buffer = encoder.encode(message);
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      return bytes;
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /**
   * Decodes any bytes, or refuses them.
   *
   * @param expected what it should have been, for the exception's message
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
