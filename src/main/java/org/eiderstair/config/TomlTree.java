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
 * Reads a TOML file into a tree of JSON nodes; all numbers become doubles. The library's parser
 * already holds the whole file. Setting up an object mapper only to copy the tree would take a good
 * part of the startup time.
 */
final class TomlTree {
  private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

  private TomlTree() {}

  /** Returns the root table; the exception names the file if reading or parsing fails. */
  static JsonNode read(Path file) throws InvalidConfigException {
    try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
      parser.nextToken();
      return node(parser);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(file.toString(), "invalid TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidConfigException(file.toString(), "cannot be read: " + e.getMessage());
    }
  }

  private static JsonNode node(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> table(parser);
      case START_ARRAY -> list(parser);
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> NODE_FACTORY.numberNode(parser.getDoubleValue());
      case VALUE_TRUE, VALUE_FALSE -> NODE_FACTORY.booleanNode(parser.getBooleanValue());
      default -> NODE_FACTORY.textNode(parser.getText());
    };
  }

  private static ObjectNode table(JsonParser parser) throws IOException {
    ObjectNode table = NODE_FACTORY.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      table.set(name, node(parser));
    }
    return table;
  }

  private static ArrayNode list(JsonParser parser) throws IOException {
    ArrayNode list = NODE_FACTORY.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(node(parser));
    }
    return list;
  }
}
