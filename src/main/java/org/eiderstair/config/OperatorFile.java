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

/** Reads the operators' own settings: one flat HCL file, all of it optional. */
public final class OperatorFile {
  public static final Settings.Tuning DEFAULTS = Settings.Tuning.defaults();

  private static final Set<String> KNOWN =
      Set.of(
          "token_list_size",
          "machine_queue",
          "leader_ttl_s",
          "leader_renew_s",
          "unheard_delete_s",
          "dark_delete_s",
          "idle_return_s",
          "rent_batch",
          "standbys");

  private final Path file;
  private final Map<String, Object> values;

  private OperatorFile(Path file, Map<String, Object> values) {
    this.file = file;
    this.values = values;
  }

  /** Reads and checks the file; settings that it does not have keep their defaults. */
  public static Settings.Tuning read(Path file) throws InvalidConfigException {
    Map<String, Object> values = new HashMap<>();
    try {
      new HCLParser()
          .parse(Files.readString(file))
          .forEach((name, value) -> values.put(name.toString(), value));
    } catch (HCLParserException | RuntimeException e) {
      throw new InvalidConfigException(file + ": not HCL: " + e.getMessage());
    } catch (IOException e) {
      throw new InvalidConfigException(file + ": cannot be read: " + e.getMessage());
    }
    for (String name : values.keySet()) {
      if (!KNOWN.contains(name)) {
        throw new InvalidConfigException(file + ": " + name + ": unknown setting");
      }
    }
    OperatorFile f = new OperatorFile(file, values);
    Settings.Tuning d = DEFAULTS;
    Settings.Tuning tuning =
        new Settings.Tuning(
            (int) f.number("token_list_size", 1, 100_000, d.tokenListSize()),
            (int) f.number("machine_queue", 0, 100, d.machineQueue()),
            f.micros("leader_ttl_s", 1, 600, d.leaderTtlMicros()),
            f.micros("leader_renew_s", 0.1, 200, d.leaderRenewMicros()),
            f.micros("unheard_delete_s", 1, 3600, d.unheardDeleteMicros()),
            f.micros("dark_delete_s", 1, 3600, d.darkDeleteMicros()),
            f.micros("idle_return_s", 0, 86_400, d.idleReturnMicros()),
            (int) f.number("rent_batch", 1, 50, d.rentBatch()),
            (int) f.number("standbys", 0, 1, d.standbys()));
    if (tuning.leaderRenewMicros() * 2 > tuning.leaderTtlMicros()) {
      throw new InvalidConfigException(
          file + ": leader_renew_s: must be at most half of leader_ttl_s");
    }
    return tuning;
  }

  private double number(String name, double least, double most, double otherwise)
      throws InvalidConfigException {
    Object value = values.get(name);
    if (value == null) {
      return otherwise;
    }
    if (value instanceof Number number
        && number.doubleValue() >= least
        && number.doubleValue() <= most) {
      return number.doubleValue();
    }
    throw new InvalidConfigException(
        file + ": " + name + ": not a number from " + least + " to " + most);
  }

  private long micros(String name, double least, double most, long otherwise)
      throws InvalidConfigException {
    return Math.round(number(name, least, most, otherwise / 1e6) * 1e6);
  }
}
