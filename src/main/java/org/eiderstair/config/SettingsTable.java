package org.eiderstair.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** One table of the platform's file; what is wrong with a field is reported by its full name. */
final class SettingsTable {
  private static final double MAX_AMOUNT = 1e9;
  private static final double MICROS_PER_SECOND = 1e6;

  /** The names of the tables that this one is in, each with a dot behind it. */
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

  /** A table that may be missing; its fields then have their defaults. */
  SettingsTable optionalTable(String name) {
    return new SettingsTable(prefix + name + ".", table.path(name));
  }

  /** The tables of a list; none when it is missing. */
  List<SettingsTable> tables(String name) {
    List<SettingsTable> tables = new ArrayList<>();
    for (JsonNode element : table.path(name)) {
      tables.add(new SettingsTable(prefix + name + ".", element));
    }
    return tables;
  }

  /** The texts of a list; none when it is missing. */
  List<String> texts(String name) {
    List<String> texts = new ArrayList<>();
    table.path(name).forEach(element -> texts.add(element.asText()));
    return texts;
  }

  String text(String name) throws InvalidConfigException {
    JsonNode found = table.path(name);
    if (!found.isTextual() || found.asText().isEmpty()) {
      throw invalid(name, "missing or not text");
    }
    return found.asText();
  }

  String optionalText(String name) {
    return table.path(name).asText("");
  }

  double optionalNumber(String name) {
    return table.path(name).asDouble(0);
  }

  int optionalCount(String name) {
    return table.path(name).asInt(0);
  }

  /** A number that is not negative; 0 when it is missing. */
  double amount(String name) throws InvalidConfigException {
    JsonNode found = table.path(name);
    if (found.isMissingNode()) {
      return 0;
    }
    double value = found.asDouble();
    if (!found.isNumber() || !(value >= 0) || value > MAX_AMOUNT) {
      throw invalid(name, "not an amount");
    }
    return value;
  }

  double positive(String name) throws InvalidConfigException {
    double value = amount(name);
    if (value <= 0) {
      throw invalid(name, "missing or not above 0");
    }
    return value;
  }

  long positiveMicros(String name) throws InvalidConfigException {
    return Math.round(positive(name) * MICROS_PER_SECOND);
  }

  long optionalMicros(String name) {
    return Math.round(optionalNumber(name) * MICROS_PER_SECOND);
  }

  HostAndPort address(String name) throws InvalidConfigException {
    return HostAndPort.parse(text(name))
        .orElseThrow(() -> invalid(name, "not an address of the form host:port"));
  }

  InvalidConfigException invalid(String name, String problem) {
    return new InvalidConfigException(prefix + name, problem);
  }
}
