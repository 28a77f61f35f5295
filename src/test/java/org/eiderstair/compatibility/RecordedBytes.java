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
 * Named messages of one kind as an earlier version wrote them: a text file with a line for each,
 * its name and its bytes in hexadecimal. Such a file is never made anew; what this version adds is
 * appended.
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

  /** All that was recorded is written in the same bytes, and nothing else. */
  void assertWrittenAlike(Map<String, byte[]> written) {
    List<String> names = new ArrayList<>(messages.keySet());
    assertEquals(names, new ArrayList<>(written.keySet()));
    messages.forEach((name, bytes) -> assertArrayEquals(bytes, written.get(name), name));
  }
}
