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

/** Entry point: parses the command line and runs one command. */
public final class Main {
  /**
   * The version is a constant, because reading it from the manifest would open the jar again at
   * each start.
   */
  static final String VERSION = "0.1.0";

  private static final int EXIT_SUCCESS = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private static final Map<String, String> COMMANDS =
      Map.of(
          "serve", "run a controller until its process is killed",
          "check", "check settings and exit",
          "submit", "submit the job described in a JSON file",
          "show", "show a job",
          "cancel", "cancel a job");

  private Main() {}

  /**
   * Runs one command and exits. The exit code is 0 on success, 1 on failure, or 2 for invalid
   * arguments or settings.
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

  /** Signals invalid command-line arguments. */
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
    String[] commandArgs = Arrays.copyOfRange(args, 1, args.length);
    return switch (args[0]) {
      case "serve" -> serve(commandArgs);
      case "check" -> check(commandArgs);
      case "submit", "show", "cancel" -> userCommand(args[0], commandArgs);
      default -> throw new UsageException("unknown command " + args[0] + "; see --help");
    };
  }

  private static int serve(String[] args) throws Exception {
    System.setErr(new PrintStream(new LogStream(new FileOutputStream(FileDescriptor.err)), false));
    new Node(nodeConfig(args)).join();
    return EXIT_SUCCESS;
  }

  private static int check(String[] args) throws Exception {
    System.out.println("settings of " + nodeConfig(args).settings().node() + " are valid");
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
            .desc("platform settings file (TOML)")
            .build());
    options.addOption(
        Option.builder()
            .longOpt("operator-config")
            .hasArg()
            .argName("FILE")
            .desc("operator settings file (HCL)")
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
            .desc("address of a controller, or of a proxy in front of the controllers")
            .build());
    return options;
  }

  private static NodeConfig nodeConfig(String[] args) throws Exception {
    CommandLine commandLine = new DefaultParser().parse(serveOptions(), args);
    if (!commandLine.getArgList().isEmpty()) {
      throw new UsageException("unexpected argument " + commandLine.getArgList().get(0));
    }
    String operatorFile = commandLine.getOptionValue("operator-config");
    return PlatformFile.read(
        Path.of(commandLine.getOptionValue("config")),
        operatorFile == null ? OperatorFile.DEFAULTS : OperatorFile.read(Path.of(operatorFile)));
  }

  private static int userCommand(String command, String[] args) throws Exception {
    CommandLine commandLine = new DefaultParser().parse(userOptions(), args);
    List<String> operands = commandLine.getArgList();
    if (operands.size() != 1) {
      throw new UsageException(
          command + " takes one " + (command.equals("submit") ? "file" : "job id"));
    }
    try (UserClient client = new UserClient(commandLine.getOptionValue("node"))) {
      return switch (command) {
        case "submit" -> client.submit(Path.of(operands.get(0)));
        case "show" -> client.show(operands.get(0));
        default -> client.cancel(operands.get(0));
      };
    }
  }

  /**
   * Disables the JVM's locale providers, which leaves only the root locale. Jetty's table of MIME
   * types queries every locale that the JVM knows. These queries took a fifth of all bytecodes that
   * a controller interpreted before it became the leader. No output of this program depends on a
   * locale.
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
