package org.eiderstair.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.eiderstair.config.InvalidConfigException;
import org.eiderstair.config.NodeConfig;
import org.eiderstair.config.OperatorFile;
import org.eiderstair.config.PlatformFile;
import org.eiderstair.node.Node;

/** The command line. */
public final class Main {
  /** Not from the jar's manifest: reading that would open it once more at each start. */
  static final String VERSION = "0.1.0";

  private static final int EXIT_SUCCESS = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private static final Map<String, String> COMMANDS =
      Map.of(
          "serve", "run a controller until it is killed",
          "check", "check settings and exit",
          "submit", "submit the job described in a JSON file",
          "show", "show a job",
          "cancel", "cancel a job");

  private Main() {}

  /**
   * Runs one command; the exit code is 0, 1 for a failure, or 2 for arguments or settings that
   * cannot be used.
   */
  public static void main(String[] args) {
    disableLocaleProviders();
    setUpLogging();
    System.exit(exitCode(args));
  }

  private static int exitCode(String[] args) {
    try {
      return run(args);
    } catch (InvalidConfigException | ParseException | UsageException e) {
      System.err.println("eiderstair: " + e.getMessage());
      return EXIT_USAGE;
    } catch (Exception e) {
      System.err.println("eiderstair: " + e);
      return EXIT_FAILURE;
    }
  }

  /** Arguments that cannot be used. */
  static final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
      super(message);
    }
  }

  private static int run(String[] args) throws Exception {
    if (args.length == 0 || args[0].equals("--help") || args[0].equals("-h")) {
      help();
      return args.length == 0 ? EXIT_USAGE : EXIT_SUCCESS;
    }
    if (args[0].equals("--version")) {
      System.out.println("eiderstair " + VERSION);
      return EXIT_SUCCESS;
    }
    String[] rest = Arrays.copyOfRange(args, 1, args.length);
    return switch (args[0]) {
      case "serve" -> serve(rest);
      case "check" -> check(rest);
      case "submit", "show", "cancel" -> userCommand(args[0], rest);
      default -> throw new UsageException("unknown command " + args[0] + "; see --help");
    };
  }

  private static int serve(String[] args) throws Exception {
    System.setErr(new PrintStream(new LogStream(new FileOutputStream(FileDescriptor.err)), false));
    new Node(nodeConfig(args)).join();
    return EXIT_SUCCESS;
  }

  private static int check(String[] args) throws Exception {
    System.out.println("settings of " + nodeConfig(args).settings().node() + " are good");
    return EXIT_SUCCESS;
  }

  private static void help() {
    System.out.println("usage: eiderstair COMMAND [options]\n");
    COMMANDS.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(command -> System.out.printf("  %-10s%s%n", command.getKey(), command.getValue()));
    System.out.println();
    HelpFormatter formatter = new HelpFormatter();
    formatter.printHelp("serve | check", serveOptions());
    formatter.printHelp("submit FILE | show ID | cancel ID", userOptions());
  }

  private static Options serveOptions() {
    Options options = new Options();
    options.addOption(
        Option.builder()
            .longOpt("config")
            .hasArg()
            .argName("FILE")
            .required()
            .desc("the platform's settings (TOML)")
            .build());
    options.addOption(
        Option.builder()
            .longOpt("operator-config")
            .hasArg()
            .argName("FILE")
            .desc("the operators' own settings (HCL)")
            .build());
    return options;
  }

  private static Options userOptions() {
    Options options = new Options();
    options.addOption(
        Option.builder()
            .longOpt("node")
            .hasArg()
            .argName("HOST:PORT")
            .required()
            .desc("a controller, or what stands before them")
            .build());
    return options;
  }

  private static NodeConfig nodeConfig(String[] args) throws Exception {
    CommandLine line = new DefaultParser().parse(serveOptions(), args);
    if (!line.getArgList().isEmpty()) {
      throw new UsageException("unexpected argument " + line.getArgList().get(0));
    }
    String operators = line.getOptionValue("operator-config");
    return PlatformFile.read(
        Path.of(line.getOptionValue("config")),
        operators == null ? OperatorFile.DEFAULTS : OperatorFile.read(Path.of(operators)));
  }

  private static int userCommand(String command, String[] args) throws Exception {
    CommandLine line = new DefaultParser().parse(userOptions(), args);
    List<String> names = line.getArgList();
    if (names.size() != 1) {
      throw new UsageException(
          command + " takes one " + (command.equals("submit") ? "file" : "job id"));
    }
    try (UserClient client = new UserClient(line.getOptionValue("node"))) {
      return switch (command) {
        case "submit" -> client.submit(Path.of(names.get(0)));
        case "show" -> client.show(names.get(0));
        default -> client.cancel(names.get(0));
      };
    }
  }

  /**
   * Nothing here speaks a human language, but Jetty's table of MIME types asks for every locale
   * that the JVM knows: that took a fifth of all bytecodes that a controller interprets until it
   * leads. Without providers there is only the root.
   */
  private static void disableLocaleProviders() {
    System.setProperty("java.locale.providers", "SPI");
  }

  private static void setUpLogging() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.eiderstair", level);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
  }
}
