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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.leadership.LeadershipBounds;
import org.eiderstair.core.settings.Settings;

/** Reads the settings file that the platform hands over. Fields it does not know are ignored. */
public final class PlatformFile {
  private PlatformFile() {}

  /** Reads and checks the file; the exception's message names the field that is wrong. */
  public static NodeConfig read(Path file, Settings.Tuning tuning) throws InvalidConfigException {
    JsonNode root;
    try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
      root = tree(parser);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(file + ": not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidConfigException(file + ": cannot be read: " + e.getMessage());
    }
    JsonNode settings = table(root, "settings");
    JsonNode workers = table(settings, "settings.workers", "workers");
    JsonNode state = table(settings, "settings.state", "state");
    JsonNode cloud = table(settings, "settings.cloud", "cloud");
    JsonNode resources = settings.path("resources");
    JsonNode endpoints = table(root, "endpoints");
    List<String> peers = new ArrayList<>();
    Map<String, String> nodeZones = new LinkedHashMap<>();
    nodeZones.put(root.path("node").asText(""), root.path("domain").asText(""));
    Map<String, String> peerAddresses = new LinkedHashMap<>();
    for (JsonNode peer : root.path("others")) {
      String name = text(peer, "others.node", "node");
      peers.add(name);
      nodeZones.put(name, peer.path("domain").asText(""));
      peerAddresses.put(name, address(peer, "others.address", "address"));
    }
    List<String> zones = new ArrayList<>();
    settings.path("zones").forEach(z -> zones.add(z.asText()));
    if (zones.isEmpty()) {
      throw new InvalidConfigException("settings.zones: missing or empty");
    }
    long lease = micros(workers, "settings.workers.lease_s", "lease_s");
    long cancel = micros(workers, "settings.workers.cancel_s", "cancel_s");
    Settings core =
        new Settings(
            text(root, "node", "node"),
            peers,
            zones,
            teams(settings),
            objectives(settings),
            micros(workers, "settings.workers.report_s", "report_s"),
            lease,
            cancel,
            positive(state, "settings.state.rps", "rps"),
            positive(state, "settings.state.write_rps", "write_rps"),
            (int) positive(state, "settings.state.txn_ops", "txn_ops"),
            positive(cloud, "settings.cloud.rps", "rps"),
            tuning,
            nodeZones,
            resources.path("cpu").asDouble(0));
    if (!LeadershipBounds.boundsHold(core)) {
      throw new InvalidConfigException(
          "settings.workers.cancel_s: must be longer than lease_s by leader_ttl_s (now "
              + tuning.leaderTtlMicros() / 1e6
              + " s), 3 s for tasks to end, and 0.05% for the drift of clocks");
    }
    String bind = address(root, "bind", "bind");
    String peerBind = address(root, "peer_bind", "peer_bind");
    return new NodeConfig(
        core,
        host(bind),
        port(bind),
        host(peerBind),
        port(peerBind),
        address(endpoints, "endpoints.state", "state"),
        address(endpoints, "endpoints.cloud", "cloud"),
        peerAddresses,
        resources.path("max_connections").asInt(0));
  }

  /**
   * The library's parser has the whole tree already; a mapper would only be set up to hand it over.
   */
  private static JsonNode tree(JsonParser parser) throws IOException {
    parser.nextToken();
    return node(parser);
  }

  private static JsonNode node(JsonParser parser) throws IOException {
    JsonNodeFactory make = JsonNodeFactory.instance;
    switch (parser.currentToken()) {
      case START_OBJECT:
        ObjectNode table = make.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
          String name = parser.currentName();
          parser.nextToken();
          table.set(name, node(parser));
        }
        return table;
      case START_ARRAY:
        ArrayNode list = make.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          list.add(node(parser));
        }
        return list;
      case VALUE_NUMBER_INT:
      case VALUE_NUMBER_FLOAT:
        return make.numberNode(parser.getDoubleValue());
      case VALUE_TRUE:
      case VALUE_FALSE:
        return make.booleanNode(parser.getBooleanValue());
      default:
        return make.textNode(parser.getText());
    }
  }

  private static Map<String, Settings.Team> teams(JsonNode settings) throws InvalidConfigException {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (JsonNode t : settings.path("teams")) {
      String name = text(t, "settings.teams.name", "name");
      teams.put(
          name,
          new Settings.Team(
              name,
              amount(t, "settings.teams.cpus", "cpus"),
              amount(t, "settings.teams.cpus_max", "cpus_max"),
              amount(t, "settings.teams.gpus", "gpus"),
              amount(t, "settings.teams.gpus_max", "gpus_max")));
    }
    if (teams.isEmpty()) {
      throw new InvalidConfigException("settings.teams: missing or empty");
    }
    return teams;
  }

  private static List<Settings.Objective> objectives(JsonNode settings) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode o : settings.path("objectives")) {
      objectives.add(
          new Settings.Objective(
              o.path("kind").asText(""),
              o.path("class").asText(""),
              Math.round(o.path("within_s").asDouble(0) * 1e6),
              o.path("share").asDouble(0)));
    }
    return objectives;
  }

  private static JsonNode table(JsonNode parent, String name) throws InvalidConfigException {
    return table(parent, name, name);
  }

  private static JsonNode table(JsonNode parent, String where, String name)
      throws InvalidConfigException {
    JsonNode node = parent.path(name);
    if (!node.isObject()) {
      throw new InvalidConfigException(where + ": missing or not a table");
    }
    return node;
  }

  private static String text(JsonNode parent, String where, String name)
      throws InvalidConfigException {
    JsonNode node = parent.path(name);
    if (!node.isTextual() || node.asText().isEmpty()) {
      throw new InvalidConfigException(where + ": missing or not text");
    }
    return node.asText();
  }

  private static double amount(JsonNode parent, String where, String name)
      throws InvalidConfigException {
    JsonNode node = parent.path(name);
    if (node.isMissingNode()) {
      return 0;
    }
    if (!node.isNumber() || !(node.asDouble() >= 0) || node.asDouble() > 1e9) {
      throw new InvalidConfigException(where + ": not an amount");
    }
    return node.asDouble();
  }

  private static double positive(JsonNode parent, String where, String name)
      throws InvalidConfigException {
    double amount = amount(parent, where, name);
    if (amount <= 0) {
      throw new InvalidConfigException(where + ": missing or not above 0");
    }
    return amount;
  }

  private static long micros(JsonNode parent, String where, String name)
      throws InvalidConfigException {
    return Math.round(positive(parent, where, name) * 1e6);
  }

  private static String address(JsonNode parent, String where, String name)
      throws InvalidConfigException {
    String address = text(parent, where, name);
    int colon = address.lastIndexOf(':');
    try {
      if (colon > 0 && Integer.parseInt(address.substring(colon + 1)) <= 65535) {
        return address;
      }
    } catch (NumberFormatException e) {
      // Told below, with the field's name.
    }
    throw new InvalidConfigException(where + ": not an address of the form host:port");
  }

  private static String host(String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }
}
