package org.eiderstair.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.leadership.LeadershipBounds;
import org.eiderstair.core.settings.Settings;

/** Reads the TOML settings file that the platform provides. Unknown fields are ignored. */
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

  /**
   * Reads and validates the file.
   *
   * @throws InvalidConfigException if a field is invalid; the message names the field
   */
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
        root.string("node"),
        peers,
        zones,
        teams(),
        objectives(),
        new Settings.WorkerTimings(workers.positiveMicros("report_s"), leaseMicros, cancelMicros),
        new Settings.StateServiceLimits(
            state.positiveNumber("rps"),
            state.positiveNumber("write_rps"),
            (int) state.positiveNumber("txn_ops")),
        cloud.positiveNumber("rps"),
        tuning,
        nodeZones(),
        resources.optionalNumber("cpu"));
  }

  /**
   * Requires that cancelled tasks end within {@code cancel_s} through the expiry of leases alone,
   * whichever processes cannot be reached.
   */
  private void requireCancellationBounds(Settings core) throws InvalidConfigException {
    if (!LeadershipBounds.isAnswerPeriodSufficient(core)) {
      throw workers.invalid(
          "cancel_s",
          "must exceed lease_s by at least leader_ttl_s ("
              + tuning.leaderTtlMicros() / 1e6
              + " s), plus 3 s for tasks to end, plus 0.05% of cancel_s for clock drift");
    }
  }

  /** Returns the other controllers' addresses by node name, in the order of the file. */
  private Map<String, String> peerAddresses() throws InvalidConfigException {
    Map<String, String> addresses = new LinkedHashMap<>();
    for (SettingsTable peer : root.tables("others")) {
      addresses.put(peer.string("node"), peer.address("address").toString());
    }
    return addresses;
  }

  /**
   * Returns the zone of each controller by node name, this node included. The zone is an empty
   * string where the file gives none.
   */
  private Map<String, String> nodeZones() throws InvalidConfigException {
    Map<String, String> nodeZones = new LinkedHashMap<>();
    nodeZones.put(root.optionalString("node"), root.optionalString("domain"));
    for (SettingsTable peer : root.tables("others")) {
      nodeZones.put(peer.string("node"), peer.optionalString("domain"));
    }
    return nodeZones;
  }

  private List<String> zones() throws InvalidConfigException {
    List<String> zones = settings.stringList("zones");
    if (zones.isEmpty()) {
      throw settings.invalid("zones", "missing or empty");
    }
    return zones;
  }

  private Map<String, Settings.Team> teams() throws InvalidConfigException {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (SettingsTable team : settings.tables("teams")) {
      String name = team.string("name");
      teams.put(
          name,
          new Settings.Team(
              name,
              team.nonNegativeNumber("cpus"),
              team.nonNegativeNumber("cpus_max"),
              team.nonNegativeNumber("gpus"),
              team.nonNegativeNumber("gpus_max")));
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
              Settings.Objective.Kind.of(objective.optionalString("kind")),
              objective.optionalString("class"),
              objective.optionalMicros("within_s"),
              objective.optionalNumber("share")));
    }
    return objectives;
  }
}
