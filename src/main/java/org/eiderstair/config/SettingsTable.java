package org.eiderstair.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One table of the platform's settings file. Errors name a field by its full dotted path.
 *
 * <p>Methods without {@code optional} in their name throw if the field is invalid, unless stated
 * otherwise.
 */
final class SettingsTable {
  private static final double MAX_NUMBER = 1e9;
  private static final double MICROS_PER_SECOND = 1e6;

  /** This table's dotted path with a trailing dot; empty for the root table. */
  private final String prefix;

  private final JsonNode table;

  private SettingsTable(String prefix, JsonNode table) {
    this.prefix = prefix;
    this.table = table;
  }

  static SettingsTable root(JsonNode root) {
    return new SettingsTable("", root);
  }

  SettingsTable table(String name) throws InvalidConfigException {
    JsonNode found = table.path(name);
    if (!found.isObject()) {
      throw invalid(name, "missing or not a table");
    }
    return new SettingsTable(prefix + name + ".", found);
  }

  /** Returns a table that may be missing; the fields of a missing table have their defaults. */
  SettingsTable optionalTable(String name) {
    return new SettingsTable(prefix + name + ".", table.path(name));
  }

  /** Returns the tables of a list; empty if the list is missing. Never throws. */
  List<SettingsTable> tables(String name) {
    List<SettingsTable> tables = new ArrayList<>();
    for (JsonNode element : table.path(name)) {
      tables.add(new SettingsTable(prefix + name + ".", element));
    }
    return tables;
  }

  /** Returns the strings of a list; empty if the list is missing. Never throws. */
  List<String> stringList(String name) {
    List<String> strings = new ArrayList<>();
    table.path(name).forEach(element -> strings.add(element.asText()));
    return strings;
  }

  /** Returns a string that must not be empty. */
  String string(String name) throws InvalidConfigException {
    JsonNode found = table.path(name);
    if (!found.isTextual() || found.asText().isEmpty()) {
      throw invalid(name, "missing, empty or not a string");
    }
    return found.asText();
  }

  /** Returns a string, or an empty string if the field is missing. */
  String optionalString(String name) {
    return table.path(name).asText("");
  }

  /** Returns a number, or 0 if the field is missing or not numeric. */
  double optionalNumber(String name) {
    return table.path(name).asDouble(0);
  }

  /** Returns an integer, or 0 if the field is missing or not numeric. */
  int optionalCount(String name) {
    return table.path(name).asInt(0);
  }

  /** Returns a number that must not be negative, or 0 if the field is missing. */
  double nonNegativeNumber(String name) throws InvalidConfigException {
    JsonNode found = table.path(name);
    if (found.isMissingNode()) {
      return 0;
    }
    double value = found.asDouble();
    if (!found.isNumber() || !(value >= 0) || value > MAX_NUMBER) {
      throw invalid(name, "must be a number from 0 to " + MAX_NUMBER);
    }
    return value;
  }

  /** Returns a number that must be greater than 0. */
  double positiveNumber(String name) throws InvalidConfigException {
    double value = nonNegativeNumber(name);
    if (value <= 0) {
      throw invalid(name, "missing or not greater than 0");
    }
    return value;
  }

  /** Returns a time that the file states in seconds, as microseconds; must be positive. */
  long positiveMicros(String name) throws InvalidConfigException {
    return Math.round(positiveNumber(name) * MICROS_PER_SECOND);
  }

  /** Returns a time that the file states in seconds, as microseconds; 0 if missing. */
  long optionalMicros(String name) {
    return Math.round(optionalNumber(name) * MICROS_PER_SECOND);
  }

  /** Returns an address that must have the form {@code host:port}. */
  HostAndPort address(String name) throws InvalidConfigException {
    return HostAndPort.parse(string(name))
        .orElseThrow(() -> invalid(name, "must be an address of the form host:port"));
  }

  /** Creates the exception for an invalid field of this table. */
  InvalidConfigException invalid(String name, String problem) {
    return new InvalidConfigException(prefix + name, problem);
  }
}
