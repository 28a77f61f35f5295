import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The controllers of a small deployment, as processes of the deploy file's run command. */
final class Controllers implements AutoCloseable {
  /** What differs between the cases. */
  record Deployment(
      List<String> zones,
      String teams,
      double reportS,
      double leaseS,
      double cancelS,
      double rps,
      double writeRps,
      int txnOps,
      double cloudRps,
      double listLagS,
      double cpu,
      double memoryMb,
      int maxConnections) {}

  private final Path root;
  private final Path folder;
  private final Record record;
  private final List<String> run;
  private final Map<String, String> binds = new LinkedHashMap<>();
  private final Map<String, Path> files = new LinkedHashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();

  /** Ends by themselves: name and exit code. */
  final List<String> ownEnds = new ArrayList<>();

  Controllers(Path root, Path folder, Record record, int count) throws IOException {
    this.root = root;
    this.folder = folder;
    this.record = record;
    String line =
        Files.readAllLines(root.resolve("deploy/service.toml")).stream()
            .filter(text -> text.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    run = Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    for (int i = 0; i < count; i++) {
      binds.put("skerry-" + i, "127.0.0.1:" + freePort());
    }
  }

  /** Returns a free port below the range from which the system takes ports for connections. */
  static int freePort() throws IOException {
    for (int i = 0; i < 100; i++) {
      int port = ThreadLocalRandom.current().nextInt(11_000, 32_000);
      try (ServerSocket socket =
          new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // In use: another one is tried.
      }
    }
    throw new IOException("no free port");
  }

  /** The addresses for users and workers by node name. */
  Map<String, String> binds() {
    return binds;
  }

  /** Writes the settings files. */
  void configure(Deployment deployment, String state, String cloud) throws IOException {
    Map<String, String> peers = new LinkedHashMap<>();
    for (String node : binds.keySet()) {
      peers.put(node, "127.0.0.1:" + freePort());
    }
    int index = 0;
    List<String> zones = deployment.zones();
    Map<String, String> domains = new LinkedHashMap<>();
    for (String node : binds.keySet()) {
      domains.put(node, zones.get(index++ % zones.size()));
    }
    for (String node : binds.keySet()) {
      StringBuilder text = new StringBuilder();
      text.append("node = \"" + node + "\"\n");
      text.append("domain = \"" + domains.get(node) + "\"\n");
      text.append("bind = \"" + binds.get(node) + "\"\n");
      text.append("peer_bind = \"" + peers.get(node) + "\"\n");
      for (String other : binds.keySet()) {
        if (!other.equals(node)) {
          text.append("[[others]]\nnode = \"" + other + "\"\ndomain = \"" + domains.get(other));
          text.append("\"\naddress = \"" + peers.get(other) + "\"\n");
        }
      }
      text.append("[endpoints]\ncloud = \"" + cloud + "\"\nstate = \"" + state + "\"\n");
      text.append("[settings]\ninitial_size = 3\nclock_off_ms = 250.0\nzones = [");
      text.append(String.join(", ", zones.stream().map(zone -> "\"" + zone + "\"").toList()));
      text.append("]\n" + deployment.teams());
      text.append(
          String.format(
              Locale.ROOT,
              "[settings.workers]%nreport_s = %s%nlease_s = %s%ngang_wait_s = 50.0%n"
                  + "gang_peer_s = 6.0%ncancel_s = %s%n[settings.state]%nrps = %s%nwrite_rps = %s%n"
                  + "value_kb = 32.0%ntxn_ops = %s%n[settings.cloud]%nrps = %s%nlist_lag_s = %s%n"
                  + "[settings.resources]%ncpu = %s%nmem_mb = %s%nmax_connections = %s%n",
              deployment.reportS(),
              deployment.leaseS(),
              deployment.cancelS(),
              deployment.rps(),
              deployment.writeRps(),
              deployment.txnOps(),
              deployment.cloudRps(),
              deployment.listLagS(),
              deployment.cpu(),
              deployment.memoryMb(),
              deployment.maxConnections()));
      files.put(node, Files.writeString(folder.resolve(node + ".toml"), text.toString()));
    }
  }

  synchronized void start(String node) throws IOException {
    List<String> command = new ArrayList<>(run);
    command.add(files.get(node).toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    File log = folder.resolve(node + ".log").toFile();
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    processes.put(node, builder.start());
    record.log("controller " + node + " started, pid " + processes.get(node).pid());
  }

  void startAll() throws IOException {
    for (String node : binds.keySet()) {
      start(node);
    }
  }

  /** Kills a controller without any signal that it could see. */
  synchronized void kill(String node) {
    record.log("controller " + node + " killed");
    Process process = processes.get(node);
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    processes.remove(node);
  }

  /** Starts controllers again that ended by themselves, as the platform does after some seconds. */
  synchronized void restartEnded() throws IOException {
    for (String node : List.copyOf(processes.keySet())) {
      Process process = processes.get(node);
      if (!process.isAlive()) {
        ownEnds.add(node + " exit code " + process.exitValue());
        record.log("controller " + node + " ENDED BY ITSELF, exit code " + process.exitValue());
        processes.remove(node);
        Http.daemon(
            "restart",
            () -> {
              try {
                Thread.sleep(3000);
                if (!closed) {
                  start(node);
                }
              } catch (IOException | InterruptedException e) {
                record.log("restart failed: " + e);
              }
            });
      }
    }
  }

  private volatile boolean closed;

  synchronized boolean isRunning(String node) {
    Process process = processes.get(node);
    return process != null && process.isAlive();
  }

  /** Lines of a controller's log that contain the text. */
  List<String> logLines(String node, String text) throws IOException {
    Path log = folder.resolve(node + ".log");
    if (!Files.exists(log)) {
      return List.of();
    }
    return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
  }

  @Override
  public synchronized void close() {
    closed = true;
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
