package org.eiderstair.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.leadership.LeadershipBounds;
import org.eiderstair.core.settings.Settings;

/** Reads the settings file that the platform hands over. Fields it does not know are ignored. */
public final class PlatformFile {
  private final SettingsTable root;
  private final SettingsTable settings;
  private final SettingsTable workers;
  private final SettingsTable state;
  private final SettingsTable cloud;
  private final SettingsTable resources;
  private final SettingsTable endpoints;
  private final Settings.Tuning tuning;

  private PlatformFile(SettingsTable root, Settings.Tuning tuning) throws InvalidConfigException {
    this.root = root;
    this.settings = root.table("settings");
    this.workers = settings.table("workers");
    this.state = settings.table("state");
    this.cloud = settings.table("cloud");
    this.resources = settings.optionalTable("resources");
    this.endpoints = root.table("endpoints");
    this.tuning = tuning;
  }

  /** Reads and checks the file; the exception's message names the field that is wrong. */
  public static NodeConfig read(Path file, Settings.Tuning tuning) throws InvalidConfigException {
    return new PlatformFile(SettingsTable.root(TomlTree.read(file)), tuning).nodeConfig();
  }

  private NodeConfig nodeConfig() throws InvalidConfigException {
    Map<String, String> peerAddresses = peerAddresses();
    Settings core = coreSettings(List.copyOf(peerAddresses.keySet()));
    requireCancellationBounds(core);
    HostAndPort bind = root.address("bind");
    HostAndPort peerBind = root.address("peer_bind");
    return new NodeConfig(
        core,
        bind.host(),
        bind.port(),
        peerBind.host(),
        peerBind.port(),
        endpoints.address("state").toString(),
        endpoints.address("cloud").toString(),
        peerAddresses,
        resources.optionalCount("max_connections"));
  }

  private Settings coreSettings(List<String> peers) throws InvalidConfigException {
    List<String> zones = zones();
    long leaseMicros = workers.positiveMicros("lease_s");
    long cancelMicros = workers.positiveMicros("cancel_s");
    return new Settings(
        root.text("node"),
        peers,
        zones,
        teams(),
        objectives(),
        new Settings.WorkerTimings(workers.positiveMicros("report_s"), leaseMicros, cancelMicros),
        new Settings.StateServiceLimits(
            state.positive("rps"), state.positive("write_rps"), (int) state.positive("txn_ops")),
        cloud.positive("rps"),
        tuning,
        nodeZones(),
        resources.optionalNumber("cpu"));
  }

  /** Cancelled work must end in time by the leases alone, whatever cannot be reached. */
  private void requireCancellationBounds(Settings core) throws InvalidConfigException {
    if (!LeadershipBounds.isAnswerPeriodSufficient(core)) {
      throw workers.invalid(
          "cancel_s",
          "must be longer than lease_s by leader_ttl_s (now "
              + tuning.leaderTtlMicros() / 1e6
              + " s), 3 s for tasks to end, and 0.05% for the drift of clocks");
    }
  }

  /** The other controllers' addresses by their names, in the order of the file. */
  private Map<String, String> peerAddresses() throws InvalidConfigException {
    Map<String, String> addresses = new LinkedHashMap<>();
    for (SettingsTable peer : root.tables("others")) {
      addresses.put(peer.text("node"), peer.address("address").toString());
    }
    return addresses;
  }

  /** Each controller's zone, this one's included; empty text where it is not given. */
  private Map<String, String> nodeZones() throws InvalidConfigException {
    Map<String, String> nodeZones = new LinkedHashMap<>();
    nodeZones.put(root.optionalText("node"), root.optionalText("domain"));
    for (SettingsTable peer : root.tables("others")) {
      nodeZones.put(peer.text("node"), peer.optionalText("domain"));
    }
    return nodeZones;
  }

  private List<String> zones() throws InvalidConfigException {
    List<String> zones = settings.texts("zones");
    if (zones.isEmpty()) {
      throw settings.invalid("zones", "missing or empty");
    }
    return zones;
  }

  private Map<String, Settings.Team> teams() throws InvalidConfigException {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (SettingsTable team : settings.tables("teams")) {
      String name = team.text("name");
      teams.put(
          name,
          new Settings.Team(
              name,
              team.amount("cpus"),
              team.amount("cpus_max"),
              team.amount("gpus"),
              team.amount("gpus_max")));
    }
    if (teams.isEmpty()) {
      throw settings.invalid("teams", "missing or empty");
    }
    return teams;
  }

  private List<Settings.Objective> objectives() {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (SettingsTable objective : settings.tables("objectives")) {
      objectives.add(
          new Settings.Objective(
              Settings.Objective.Kind.of(objective.optionalText("kind")),
              objective.optionalText("class"),
              objective.optionalMicros("within_s"),
              objective.optionalNumber("share")));
    }
    return objectives;
  }
}
