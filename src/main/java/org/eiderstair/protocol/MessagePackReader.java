package org.eiderstair.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Decodes one message; see {@link MessagePackCodec#readMap}. */
final class MessagePackReader {
  /** The greatest depth of a list, map or text; the outermost map has depth 1. */
  private static final int MAX_DEPTH = 24;

  /** The largest number of items for which memory is reserved before they are read. */
  private static final int MAX_INITIAL_CAPACITY = 64;

  private final MessageUnpacker unpacker;
  private final int sizeBytes;
  private final MessagePackCodec.RowReader rowReader;

  /**
   * @param sizeBytes the size of the message
   * @param rowReader receives the rows of one list among the fields of the outermost map; null for
   *     none
   */
  MessagePackReader(MessageUnpacker unpacker, int sizeBytes, MessagePackCodec.RowReader rowReader) {
    this.unpacker = unpacker;
    this.sizeBytes = sizeBytes;
    this.rowReader = rowReader;
  }

  Map<String, Object> readMessage() throws IOException, MalformedMessageException {
    if (!unpacker.hasNext() || nextType() != ValueType.MAP) {
      throw new MalformedMessageException("body is not a map");
    }
    Map<String, Object> message = map(1);
    if (unpacker.hasNext()) {
      throw new MalformedMessageException("bytes after the map");
    }
    return message;
  }

  private ValueType nextType() throws IOException {
    return unpacker.getNextFormat().getValueType();
  }

  private Object value(int depth) throws IOException, MalformedMessageException {
    switch (nextType()) {
      case NIL:
        unpacker.unpackNil();
        return null;
      case BOOLEAN:
        return unpacker.unpackBoolean();
      case INTEGER:
        return unpacker.unpackLong();
      case FLOAT:
        return unpacker.unpackDouble();
      case STRING:
        return new String(utf8(depth), StandardCharsets.UTF_8);
      case MAP:
        return map(depth);
      case ARRAY:
        return list(depth);
      default:
        throw new MalformedMessageException("binary or extension value");
    }
  }

  private Map<String, Object> map(int depth) throws IOException, MalformedMessageException {
    int count = unpacker.unpackMapHeader();
    checkBounds(2L * count, depth);
    Map<String, Object> map = new LinkedHashMap<>(Math.min(count, MAX_INITIAL_CAPACITY) * 2);
    for (int i = 0; i < count; i++) {
      String name = name(depth);
      map.put(name, isRowList(name, depth) ? rowList(depth + 1) : value(depth + 1));
    }
    return map;
  }

  private boolean isRowList(String name, int depth) throws IOException {
    return rowReader != null
        && depth == 1
        && name.equals(rowReader.listName())
        && nextType() == ValueType.ARRAY;
  }

  private List<Object> list(int depth) throws IOException, MalformedMessageException {
    int count = unpacker.unpackArrayHeader();
    checkBounds(count, depth);
    List<Object> list = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
    for (int i = 0; i < count; i++) {
      list.add(value(depth + 1));
    }
    return list;
  }

  /**
   * Passes all maps of the list to the row reader, and returns the other items. The caller refuses
   * the message when there are any.
   */
  private List<Object> rowList(int depth) throws IOException, MalformedMessageException {
    int count = unpacker.unpackArrayHeader();
    checkBounds(count, depth);
    Object[] values = new Object[rowReader.columnNames().length];
    List<Object> otherItems = List.of();
    rowReader.beginList();
    for (int i = 0; i < count; i++) {
      if (nextType() == ValueType.MAP) {
        row(values, depth + 1);
      } else {
        otherItems = new ArrayList<>(otherItems);
        otherItems.add(value(depth + 1));
      }
    }
    return otherItems;
  }

  private void row(Object[] values, int depth) throws IOException, MalformedMessageException {
    Arrays.fill(values, null);
    int count = unpacker.unpackMapHeader();
    checkBounds(2L * count, depth);
    for (int i = 0; i < count; i++) {
      int column = column(name(depth));
      Object value = rowValue(column, depth + 1);
      if (column >= 0) {
        values[column] = value;
      }
    }
    rowReader.row(values);
  }

  /** Returns the index of the column with this name, or -1 when there is none. */
  private int column(String name) {
    String[] names = rowReader.columnNames();
    int column = names.length - 1;
    while (column >= 0 && !names[column].equals(name)) {
      column--;
    }
    return column;
  }

  /** Reads the value of a column. Texts of all columns but the first are cached. */
  private Object rowValue(int column, int depth) throws IOException, MalformedMessageException {
    boolean shared = column > 0 && nextType() == ValueType.STRING;
    return shared ? InternedNames.of(utf8(depth)) : value(depth);
  }

  private String name(int depth) throws IOException, MalformedMessageException {
    if (nextType() != ValueType.STRING) {
      throw new MalformedMessageException("a key is not text");
    }
    return InternedNames.of(utf8(depth));
  }

  /**
   * Returns the bytes of a text. The text decoder of the library allocates 16 KB for each message.
   * It raised the memory allocated for an unchanged heartbeat from 8 KB to 26 KB.
   */
  private byte[] utf8(int depth) throws IOException, MalformedMessageException {
    int length = unpacker.unpackRawStringHeader();
    checkBounds(length, depth);
    return unpacker.readPayload(length);
  }

  /**
   * Refuses nesting that is too deep, and lengths above the number of remaining bytes. Each item
   * takes at least one byte, so a short message cannot cause a large allocation.
   */
  private void checkBounds(long items, int depth) throws MalformedMessageException {
    if (depth > MAX_DEPTH) {
      throw new MalformedMessageException("nested too deeply");
    }
    if (items < 0 || items > sizeBytes - unpacker.getTotalReadBytes()) {
      throw new MalformedMessageException("longer than its message");
    }
  }
}
