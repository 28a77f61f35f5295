package org.eiderstair.protocol;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageFormat;
import org.msgpack.value.ValueType;

/** Decodes one message; see {@link MessagePackCodec#readMap}. */
final class MessagePackReader {
  /** The greatest depth of a list or map that is decoded; the outermost map has depth 1. */
  private static final int MAX_DEPTH = 24;

  /** The largest number of items for which memory is reserved before they are read. */
  private static final int MAX_INITIAL_CAPACITY = 64;

  private final MessagePackInput input;
  private final Set<String> knownNames;
  private final MessagePackCodec.RowReader rowReader;

  /**
   * @param knownNames the fields of the outermost map that are decoded; null for all of them
   * @param rowReader receives the rows of one list among the fields of the outermost map; null for
   *     none
   */
  MessagePackReader(
      MessagePackInput input, Set<String> knownNames, MessagePackCodec.RowReader rowReader) {
    this.input = input;
    this.knownNames = knownNames;
    this.rowReader = rowReader;
  }

  Map<String, Object> readMessage() throws IOException, MalformedMessageException {
    if (!input.hasNext() || input.nextType() != ValueType.MAP) {
      throw new MalformedMessageException("body is not a map");
    }
    Map<String, Object> message = map(1);
    if (input.hasNext()) {
      throw new MalformedMessageException("bytes after the map");
    }
    return message;
  }

  private Object value(int depth) throws IOException, MalformedMessageException {
    switch (input.nextType()) {
      case NIL:
        input.unpacker().unpackNil();
        return null;
      case BOOLEAN:
        return input.unpacker().unpackBoolean();
      case INTEGER:
        return integer();
      case FLOAT:
        return input.unpacker().unpackDouble();
      case STRING:
        return new String(input.utf8(), StandardCharsets.UTF_8);
      case MAP:
        return depth > MAX_DEPTH ? unreadable() : map(depth);
      case ARRAY:
        return depth > MAX_DEPTH ? unreadable() : list(depth);
      default:
        return unreadable();
    }
  }

  private Object unreadable() throws IOException, MalformedMessageException {
    input.skipValue();
    return UnreadableValue.INSTANCE;
  }

  /** Returns a {@link Long}, or a {@link BigInteger} if the integer is above the range of one. */
  private Object integer() throws IOException {
    if (input.unpacker().getNextFormat() != MessageFormat.UINT64) {
      return input.unpacker().unpackLong();
    }
    BigInteger integer = input.unpacker().unpackBigInteger();
    return integer.bitLength() < Long.SIZE ? (Object) integer.longValue() : integer;
  }

  private Map<String, Object> map(int depth) throws IOException, MalformedMessageException {
    int count = input.mapHeader();
    Map<String, Object> map = new LinkedHashMap<>(Math.min(count, MAX_INITIAL_CAPACITY) * 2);
    for (int i = 0; i < count; i++) {
      String name = nameOrNull();
      if (!isDecoded(name, depth)) {
        input.skipValue();
      } else {
        map.put(name, isRowList(name, depth) ? rowList(depth + 1) : value(depth + 1));
      }
    }
    return map;
  }

  private boolean isDecoded(String name, int depth) {
    return name != null && (depth > 1 || knownNames == null || knownNames.contains(name));
  }

  private boolean isRowList(String name, int depth) throws IOException {
    return rowReader != null
        && depth == 1
        && name.equals(rowReader.listName())
        && input.nextType() == ValueType.ARRAY;
  }

  private List<Object> list(int depth) throws IOException, MalformedMessageException {
    int count = input.listHeader();
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
    int count = input.listHeader();
    Object[] values = new Object[rowReader.columnNames().length];
    List<Object> otherItems = List.of();
    rowReader.beginList();
    for (int i = 0; i < count; i++) {
      if (input.nextType() == ValueType.MAP) {
        row(values, depth + 1);
      } else {
        otherItems = otherItems.isEmpty() ? new ArrayList<>() : otherItems;
        otherItems.add(value(depth + 1));
      }
    }
    return otherItems;
  }

  private void row(Object[] values, int depth) throws IOException, MalformedMessageException {
    Arrays.fill(values, null);
    int count = input.mapHeader();
    for (int i = 0; i < count; i++) {
      String name = nameOrNull();
      int column = name == null ? -1 : column(name);
      if (column < 0) {
        input.skipValue();
      } else {
        values[column] = columnValue(column, depth + 1);
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
  private Object columnValue(int column, int depth) throws IOException, MalformedMessageException {
    boolean shared = column > 0 && input.nextType() == ValueType.STRING;
    return shared ? InternedNames.of(input.utf8()) : value(depth);
  }

  /** Reads a key of a map; returns null for one that is not text, which names no field. */
  private String nameOrNull() throws IOException, MalformedMessageException {
    if (input.nextType() == ValueType.STRING) {
      return InternedNames.of(input.utf8());
    }
    input.skipValue();
    return null;
  }
}
