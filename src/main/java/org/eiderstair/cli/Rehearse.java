package org.eiderstair.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.eiderstair.config.PlatformFile;
import org.eiderstair.core.Settings;
import org.eiderstair.node.Node;
import picocli.CommandLine.Command;

/** Starts a node against nothing and ends: the build records the classes that this loads. */
@Command(name = "rehearse", hidden = true, description = "Used by the build to record the classes of a start.")
final class Rehearse implements Callable<Integer> {
  private static final String SETTINGS = """
      node = "rehearsal"
      bind = "127.0.0.1:0"
      peer_bind = "127.0.0.1:0"
      [endpoints]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:1"
      [settings]
      zones = ["z"]
      [[settings.teams]]
      name = "t"
      cpus = 1.0
      [settings.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      [settings.state]
      rps = 100.0
      write_rps = 50.0
      value_kb = 32.0
      txn_ops = 16
      [settings.cloud]
      rps = 5.0
      list_lag_s = 5.0
      """;

  @Override
  public Integer call() throws Exception {
    Path file = Files.createTempFile("eiderstair", ".toml");
    try {
      Files.writeString(file, SETTINGS);
      try (Node node = new Node(PlatformFile.read(file, Settings.Tuning.defaults()))) {
        Thread.sleep(300);
      }
    } finally {
      Files.delete(file);
    }
    return 0;
  }
}
