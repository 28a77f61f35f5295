package org.eiderstair.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.eiderstair.config.BadConfig;
import org.eiderstair.config.NodeConfig;
import org.eiderstair.config.PlatformFile;
import org.eiderstair.core.Settings;
import org.eiderstair.node.Node;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line. */
@Command(name = "eiderstair", mixinStandardHelpOptions = true, version = "eiderstair 0.1.0",
    description = "A cluster scheduler.", subcommands = {Main.Serve.class, Main.Check.class, Rehearse.class})
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    setUpLogging();
    CommandLine line = new CommandLine(new Main());
    line.setExecutionExceptionHandler((e, cmd, parsed) -> {
      cmd.getErr().println("eiderstair: " + (e instanceof BadConfig ? e.getMessage() : e.toString()));
      return 1;
    });
    int code = line.execute(args);
    if (code != 0 || args.length == 0 || !args[0].equals("serve")) {
      System.exit(code);
    }
  }

  private static void setUpLogging() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.eiderstair", level);
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSS");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
  }

  /** Runs a controller until it is killed. */
  @Command(name = "serve", mixinStandardHelpOptions = true, description = "Run a controller.")
  static final class Serve implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "The platform's settings (TOML).")
    Path config;

    @Override
    public Integer call() throws Exception {
      Node node = new Node(PlatformFile.read(config, Settings.Tuning.defaults()));
      node.join();
      return 0;
    }
  }

  /** Says whether settings can be used. */
  @Command(name = "check", mixinStandardHelpOptions = true, description = "Check settings and exit.")
  static final class Check implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "The platform's settings (TOML).")
    Path config;

    @Override
    public Integer call() throws Exception {
      NodeConfig read = PlatformFile.read(config, Settings.Tuning.defaults());
      System.out.println("settings of " + read.settings().node() + " are good");
      return 0;
    }
  }
}
