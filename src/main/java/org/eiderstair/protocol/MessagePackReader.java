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

/** Reads one message; see {@link MessagePackCodec#readMap}. */
final class MessagePackReader {
  private static final int MAX_DEPTH = 24;
  private static final int MAX_INITIAL_CAPACITY = 64;

  private final MessageUnpacker unpacker;
  private final int size;
  private final MessagePackCodec.RowReader rows;

  /**
   * @param size of the message in bytes
   * @param rows takes the rows of one list of the message's own fields; null for none
   */
  MessagePackReader(MessageUnpacker unpacker, int size, MessagePackCodec.RowReader rows) {
    this.unpacker = unpacker;
    this.size = size;
    this.rows = rows;
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
    check(2L * count, depth);
    Map<String, Object> map = new LinkedHashMap<>(Math.min(count, MAX_INITIAL_CAPACITY) * 2);
    for (int i = 0; i < count; i++) {
      String name = name(depth);
      map.put(name, isRows(name, depth) ? rows(depth + 1) : value(depth + 1));
    }
    return map;
  }

  private boolean isRows(String name, int depth) throws IOException {
    return rows != null && depth == 1 && name.equals(rows.field()) && nextType() == ValueType.ARRAY;
  }

  private List<Object> list(int depth) throws IOException, MalformedMessageException {
    int count = unpacker.unpackArrayHeader();
    check(count, depth);
    List<Object> list = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
    for (int i = 0; i < count; i++) {
      list.add(value(depth + 1));
    }
    return list;
  }

  /**
   * An empty list when all items were rows, else what was none: for a reader of fields to refuse.
   */
  private List<Object> rows(int depth) throws IOException, MalformedMessageException {
    int count = unpacker.unpackArrayHeader();
    check(count, depth);
    Object[] values = new Object[rows.names().length];
    List<Object> others = List.of();
    rows.begin();
    for (int i = 0; i < count; i++) {
      if (nextType() == ValueType.MAP) {
        row(values, depth + 1);
      } else {
        others = new ArrayList<>(others);
        others.add(value(depth + 1));
      }
    }
    return others;
  }

  private void row(Object[] values, int depth) throws IOException, MalformedMessageException {
    Arrays.fill(values, null);
    int count = unpacker.unpackMapHeader();
    check(2L * count, depth);
    for (int i = 0; i < count; i++) {
      int column = column(name(depth));
      Object value = rowValue(column, depth + 1);
      if (column >= 0) {
        values[column] = value;
      }
    }
    rows.row(values);
  }

  /** Its index among the names of a row's fields; -1 for one that is not read. */
  private int column(String name) {
    String[] names = rows.names();
    int column = names.length - 1;
    while (column >= 0 && !names[column].equals(name)) {
      column--;
    }
    return column;
  }

  /** Text of all columns but the first is one of a few words, and so is shared. */
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
   * The bytes of a text. The library's own way to read text sets aside 16 KB for each message,
   * which cost an unchanged heartbeat more than all the rest of its way: 26 KB against 8.
   */
  private byte[] utf8(int depth) throws IOException, MalformedMessageException {
    int length = unpacker.unpackRawStringHeader();
    check(length, depth);
    return unpacker.readPayload(length);
  }

  private void check(long items, int depth) throws MalformedMessageException {
    if (depth > MAX_DEPTH) {
      throw new MalformedMessageException("nested too deeply");
    }
    if (items < 0 || items > size - unpacker.getTotalReadBytes()) {
      throw new MalformedMessageException("longer than its message");
    }
  }
}
