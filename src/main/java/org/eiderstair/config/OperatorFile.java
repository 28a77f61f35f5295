package org.eiderstair.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.settings.Settings;

/** Reads the operators' settings: one flat HCL file in which every setting is optional. */
public final class OperatorFile {
  /** The settings that apply when operators provide no file. */
  public static final Settings.Tuning DEFAULTS = Settings.Tuning.defaults();

  private static final double MICROS_PER_SECOND = 1e6;

  private static final String TOKEN_LIST_SIZE = "token_list_size";
  private static final String MACHINE_QUEUE = "machine_queue";
  private static final String LEADER_TTL_SECONDS = "leader_ttl_s";
  private static final String LEADER_RENEW_SECONDS = "leader_renew_s";
  private static final String UNHEARD_DELETE_SECONDS = "unheard_delete_s";
  private static final String DARK_DELETE_SECONDS = "dark_delete_s";
  private static final String IDLE_RETURN_SECONDS = "idle_return_s";
  private static final String RENT_BATCH = "rent_batch";
  private static final String STANDBYS = "standbys";

  private static final Set<String> KNOWN_SETTINGS =
      Set.of(
          TOKEN_LIST_SIZE,
          MACHINE_QUEUE,
          LEADER_TTL_SECONDS,
          LEADER_RENEW_SECONDS,
          UNHEARD_DELETE_SECONDS,
          DARK_DELETE_SECONDS,
          IDLE_RETURN_SECONDS,
          RENT_BATCH,
          STANDBYS);

  private final Path file;
  private final Map<String, Object> values;

  private OperatorFile(Path file, Map<String, Object> values) {
    this.file = file;
    this.values = values;
  }

  /** Reads and validates the file; settings that it omits keep their defaults. */
  public static Settings.Tuning read(Path file) throws InvalidConfigException {
    OperatorFile settings = new OperatorFile(file, parse(file));
    settings.rejectUnknownSettings();
    Settings.Tuning tuning = settings.tuning();
    if (tuning.leaderRenewMicros() * 2 > tuning.leaderTtlMicros()) {
      throw settings.invalid(LEADER_RENEW_SECONDS, "must be at most half of leader_ttl_s");
    }
    return tuning;
  }

  private static Map<String, Object> parse(Path file) throws InvalidConfigException {
    Map<String, Object> values = new HashMap<>();
    try {
      new HCLParser()
          .parse(Files.readString(file))
          .forEach((name, value) -> values.put(name.toString(), value));
    } catch (HCLParserException | RuntimeException e) {
      throw new InvalidConfigException(file.toString(), "invalid HCL: " + e.getMessage());
    } catch (IOException e) {
      throw new InvalidConfigException(file.toString(), "cannot be read: " + e.getMessage());
    }
    return values;
  }

  private void rejectUnknownSettings() throws InvalidConfigException {
    for (String name : values.keySet()) {
      if (!KNOWN_SETTINGS.contains(name)) {
        throw invalid(name, "unknown setting");
      }
    }
  }

  private Settings.Tuning tuning() throws InvalidConfigException {
    return new Settings.Tuning(
        count(TOKEN_LIST_SIZE, 1, 100_000, DEFAULTS.tokenListSize()),
        count(MACHINE_QUEUE, 0, 100, DEFAULTS.machineQueue()),
        micros(LEADER_TTL_SECONDS, 1, 600, DEFAULTS.leaderTtlMicros()),
        micros(LEADER_RENEW_SECONDS, 0.1, 200, DEFAULTS.leaderRenewMicros()),
        micros(UNHEARD_DELETE_SECONDS, 1, 3600, DEFAULTS.unreachableDeleteMicros()),
        micros(DARK_DELETE_SECONDS, 1, 3600, DEFAULTS.partitionedDeleteMicros()),
        micros(IDLE_RETURN_SECONDS, 0, 86_400, DEFAULTS.idleReturnMicros()),
        count(RENT_BATCH, 1, 50, DEFAULTS.rentBatch()),
        count(STANDBYS, 0, 1, DEFAULTS.standbys()));
  }

  private double number(String name, double min, double max, double defaultValue)
      throws InvalidConfigException {
    Object value = values.get(name);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Number number
        && number.doubleValue() >= min
        && number.doubleValue() <= max) {
      return number.doubleValue();
    }
    throw invalid(name, "must be a number from " + min + " to " + max);
  }

  private int count(String name, int min, int max, int defaultValue) throws InvalidConfigException {
    return (int) number(name, min, max, defaultValue);
  }

  private long micros(String name, double min, double max, long defaultMicros)
      throws InvalidConfigException {
    return Math.round(
        number(name, min, max, defaultMicros / MICROS_PER_SECOND) * MICROS_PER_SECOND);
  }

  private InvalidConfigException invalid(String name, String problem) {
    return new InvalidConfigException(file + ": " + name, problem);
  }
}
