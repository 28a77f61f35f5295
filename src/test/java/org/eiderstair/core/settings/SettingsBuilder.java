package org.eiderstair.core.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds settings for tests. By default, node n0 is the only node and there is one zone. */
public final class SettingsBuilder {
  private List<String> peers = List.of();
  private List<String> zones = List.of("a");
  private final Map<String, Settings.Team> teams = new LinkedHashMap<>();
  private List<Settings.Objective> objectives = List.of();

  private SettingsBuilder() {}

  /**
   * Returns a builder with heartbeats every 3 s, leases of 20 s, cancellations within 40 s and no
   * teams.
   */
  public static SettingsBuilder settings() {
    return new SettingsBuilder();
  }

  /** Sets the names of the other controllers. */
  public SettingsBuilder peers(String... names) {
    peers = List.of(names);
    return this;
  }

  /** Sets the zones. */
  public SettingsBuilder zones(String... names) {
    zones = List.of(names);
    return this;
  }

  /** Adds a team with its guaranteed and maximum processors; a maximum of 0 means no limit. */
  public SettingsBuilder team(String name, double guaranteedCpus, double maxCpus) {
    teams.put(name, new Settings.Team(name, guaranteedCpus, maxCpus, 0, 0));
    return this;
  }

  /** Sets the service-level objectives. */
  public SettingsBuilder objectives(Settings.Objective... values) {
    objectives = List.of(values);
    return this;
  }

  /** Returns the settings. */
  public Settings build() {
    return new Settings(
        "n0",
        peers,
        zones,
        teams,
        objectives,
        new Settings.WorkerTimings(3_000_000, 20_000_000, 40_000_000),
        new Settings.StateServiceLimits(100, 50, 16),
        5,
        Settings.Tuning.defaults(),
        Map.of(),
        Settings.UNKNOWN_CPU_SHARE);
  }
}
