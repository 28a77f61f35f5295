package org.eiderstair.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads a TOML file into a tree. The library's parser holds the whole file already; setting up an
 * object mapper only to copy it would cost a good part of a start.
 */
final class TomlTree {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private TomlTree() {}

  static JsonNode read(Path file) throws InvalidConfigException {
    try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
      parser.nextToken();
      return node(parser);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(file.toString(), "not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidConfigException(file.toString(), "cannot be read: " + e.getMessage());
    }
  }

  private static JsonNode node(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> table(parser);
      case START_ARRAY -> list(parser);
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(parser.getBooleanValue());
      default -> NODES.textNode(parser.getText());
    };
  }

  private static ObjectNode table(JsonParser parser) throws IOException {
    ObjectNode table = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      table.set(name, node(parser));
    }
    return table;
  }

  private static ArrayNode list(JsonParser parser) throws IOException {
    ArrayNode list = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(node(parser));
    }
    return list;
  }
}
