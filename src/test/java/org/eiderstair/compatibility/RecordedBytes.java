package org.eiderstair.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Messages that an earlier version wrote, each with a name. The file has one line for each message,
 * with the name and the bytes in hexadecimal. The recorded lines must never be regenerated;
 * messages that a later version adds are appended.
 */
final class RecordedBytes {
  private static final String DIRECTORY = "/compatibility/";

  private final Map<String, byte[]> messages = new LinkedHashMap<>();

  private RecordedBytes() {}

  static RecordedBytes load(String file) {
    RecordedBytes recorded = new RecordedBytes();
    try (InputStream in = RecordedBytes.class.getResourceAsStream(DIRECTORY + file)) {
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      text.lines()
          .map(line -> line.split(" "))
          .forEach(words -> recorded.messages.put(words[0], HexFormat.of().parseHex(words[1])));
      return recorded;
    } catch (IOException e) {
      throw new IllegalStateException("cannot read " + file, e);
    }
  }

  List<String> names() {
    return List.copyOf(messages.keySet());
  }

  byte[] get(String name) {
    return messages.get(name).clone();
  }

  /**
   * Asserts that the messages have the recorded names, in the same order, and the recorded bytes.
   */
  void assertSameBytes(Map<String, byte[]> written) {
    List<String> names = new ArrayList<>(messages.keySet());
    assertEquals(names, new ArrayList<>(written.keySet()));
    messages.forEach((name, bytes) -> assertArrayEquals(bytes, written.get(name), name));
  }
}
