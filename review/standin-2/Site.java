import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One deployment on loopback addresses: controllers as processes, and stand-ins for all others. */
final class Site implements AutoCloseable {
  /** A job as its user describes it. */
  record Job(
      String id, String jobClass, String team, boolean standing, String priority, int tasks,
      double cpus, double memoryGb, String image, double imageGb, List<String> hulls, String zone,
      boolean oneZone, boolean spread, boolean spot, double runS, double checkpointS,
      double saveS) {
    Map<String, Object> message() {
      return Pack.map(
          "Id", id, "JobkindGroup", jobClass, "Crew", team,
          "Shape", standing ? "standing" : "sweep", "Urgency", priority, "Pieces", (long) tasks,
          "Cores", cpus, "Accelerators", 0.0, "MemoryGb", memoryGb, "Bundle", image,
          "ImageGb", imageGb, "Hulls", hulls, "Fjord", zone, "OneZone", oneZone,
          "Scatter", spread, "Driftwood", spot, "GuessS", standing ? 0.0 : runS,
          "CairnEveryS", checkpointS, "CairnS", saveS, "DueS", null);
    }
  }

  record Controller(String name, String zone, String address, String peerAddress) {}

  /** The settings of the site file malyska-reykjavik. */
  String domain = "malyska-reykjavik";
  List<String> zones = List.of("reykjavik-1", "akureyri-2", "keflavik-3");
  List<String> teams =
      List.of("transcription", "audio-lab", "customer-desk", "search-index", "drift");
  Map<String, double[]> teamLimits = new HashMap<>();
  double reportS = 2.5;
  double leaseS = 16;
  double cancelS = 36;
  double stateRps = 200;
  double stateWriteRps = 80;
  double valueKb = 32;
  int txnOps = 12;
  double stateLatency = 0.005;
  double cloudRps = 8;
  double cloudLatency = 0.2;
  double listLag = 5;
  double pullGbPerS = 0.4;
  double cpuShare = 0.176;
  double memoryMb = 263;
  int maxConnections = 1500;
  String moreSettings = "";
  List<Cloud.Type> types =
      List.of(new Cloud.Type("hekla-16", 16, 64, 0.8, 0.21, 30));

  final List<Controller> controllers = new ArrayList<>();
  final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final Map<String, String> onMachine = new ConcurrentHashMap<>();
  private final Set<String> doneTasks = ConcurrentHashMap.newKeySet();
  private final List<String> broken = new ArrayList<>();
  StateService state;
  Cloud cloud;
  Path folder;
  double startedAt;
  private String stateAddress;
  private String cloudAddress;

  /** Starts the stand-ins and prepares the controllers. */
  void open(int controllerCount) throws Exception {
    folder = Files.createTempDirectory("review-2-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    List<Integer> ports = Net.freePorts(2 * controllerCount);
    for (int i = 0; i < controllerCount; i++) {
      controllers.add(
          new Controller(
              "skerry-" + i,
              zones.get(i % zones.size()),
              "127.0.0.1:" + ports.get(2 * i),
              "127.0.0.1:" + ports.get(2 * i + 1)));
    }
    state = new StateService(stateRps, stateWriteRps, valueKb, txnOps, stateLatency);
    cloud = new Cloud(this, types);
    stateAddress = "127.0.0.1:" + Net.serve("127.0.0.1", 0, state::handle).getAddress().getPort();
    cloudAddress = "127.0.0.1:" + Net.serve("127.0.0.1", 0, cloud::handle).getAddress().getPort();
  }

  int controllerIndex(String name) {
    for (int i = 0; i < controllers.size(); i++) {
      if (controllers.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** Starts a controller with the run command of the deploy file. */
  void startController(int index) throws IOException {
    Controller controller = controllers.get(index);
    Path file = folder.resolve(controller.name() + ".toml");
    Files.writeString(file, settings(controller));
    String run =
        Files.readAllLines(Path.of("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow()
            .replaceAll("^run = \"(.*)\"$", "$1");
    List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
    command.add(file.toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    File log = folder.resolve(controller.name() + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    processes.put(controller.name(), builder.start());
    Record.line("controller " + controller.name() + " started");
  }

  void startAllControllers() throws IOException {
    startedAt = Clock.now();
    for (int i = 0; i < controllers.size(); i++) {
      startController(i);
    }
  }

  private String settings(Controller own) {
    StringBuilder text = new StringBuilder();
    text.append("node = \"").append(own.name()).append("\"\n");
    text.append("domain = \"").append(own.zone()).append("\"\n");
    text.append("bind = \"").append(own.address()).append("\"\n");
    text.append("peer_bind = \"").append(own.peerAddress()).append("\"\n");
    for (Controller other : controllers) {
      if (other != own) {
        text.append("\n[[others]]\nnode = \"").append(other.name());
        text.append("\"\ndomain = \"").append(other.zone());
        text.append("\"\naddress = \"").append(other.peerAddress()).append("\"\n");
      }
    }
    text.append("\n[endpoints]\ncloud = \"").append(cloudAddress);
    text.append("\"\nstate = \"").append(stateAddress).append("\"\n");
    text.append("\n[settings]\ninitial_size = ").append(controllers.size());
    text.append("\nzones = [\"").append(String.join("\", \"", zones)).append("\"]\n");
    text.append("clock_off_ms = 100.0\n");
    for (String team : teams) {
      double[] limits = teamLimits.getOrDefault(team, new double[] {0, 0});
      text.append("\n[[settings.teams]]\nname = \"").append(team).append("\"\n");
      text.append("cpus = ").append(limits[0]).append("\ncpus_max = ").append(limits[1]);
      text.append("\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    text.append(
        String.format(
            Locale.ROOT,
            "\n[settings.workers]\nreport_s = %s\nlease_s = %s\ngang_wait_s = 45.0\n"
                + "gang_peer_s = 4.0\ncancel_s = %s\n"
                + "\n[settings.state]\nrps = %s\nwrite_rps = %s\nvalue_kb = %s\ntxn_ops = %d\n"
                + "\n[settings.cloud]\nrps = %s\nlist_lag_s = %s\n"
                + "\n[settings.resources]\ncpu = %s\nmem_mb = %s\nmax_connections = %d\n",
            reportS, leaseS, cancelS, stateRps, stateWriteRps, valueKb, txnOps, cloudRps, listLag,
            cpuShare, memoryMb, maxConnections));
    return text + moreSettings;
  }

  /** Waits until a number of controllers are ready; returns false if that takes too long. */
  boolean awaitReady(int count, double seconds) {
    double end = Clock.now() + seconds;
    while (Clock.now() < end) {
      int ready = 0;
      for (Controller controller : controllers) {
        ready += isReady(controller) ? 1 : 0;
      }
      if (ready >= count) {
        Record.line("controllers ready: " + ready);
        return true;
      }
      Clock.sleep(0.1);
    }
    Record.line("not enough controllers became ready");
    recordLogs("");
    return false;
  }

  boolean isReady(Controller controller) {
    Net.Client client = new Net.Client(controller.address());
    try {
      return client.send("GET", "/ready", null, 1000).status() == 200;
    } catch (IOException e) {
      return false;
    } finally {
      client.close();
    }
  }

  /** Sends a user's request through a stand-in of the load balancer: to a node that accepts it. */
  Net.Reply user(String method, String path, Map<String, Object> body, int timeoutMillis)
      throws IOException {
    IOException last = null;
    int first = (int) (Math.random() * controllers.size());
    for (int i = 0; i < controllers.size(); i++) {
      Controller controller = controllers.get((first + i) % controllers.size());
      Net.Client client = new Net.Client(controller.address());
      try {
        return client.send(method, path, body, timeoutMillis);
      } catch (IOException e) {
        last = e;
      } finally {
        client.close();
      }
    }
    throw last;
  }

  /** Submits a job as its user does, for up to 60 s; returns whether it was accepted. */
  boolean submit(Job job) {
    jobs.put(job.id(), job);
    double end = Clock.now() + 60;
    while (Clock.now() < end) {
      try {
        Net.Reply reply = user("POST", "/work", job.message(), 5000);
        if (reply.status() == 201 || reply.status() == 200) {
          Record.line("user: " + job.id() + " accepted: " + Pack.json(job.message()) + " -> "
              + reply.status() + " " + Pack.json(reply.body()));
          return true;
        }
        if (reply.status() == 400 || reply.status() == 422) {
          Record.line("user: " + job.id() + " refused: " + reply);
          return false;
        }
      } catch (IOException e) {
        Record.line("user: no answer to the submission of " + job.id() + ": " + e.getMessage());
      }
      Clock.sleep(1);
    }
    return false;
  }

  /** Asks for a job's state once; null if there was no answer with status 200. */
  Map<String, Object> poll(String id) {
    try {
      Net.Reply reply = user("GET", "/work/" + id, null, 2000);
      Record.line("user: " + id + "? -> " + reply.status() + " " + Pack.json(reply.body()));
      return reply.status() == 200 ? reply.body() : null;
    } catch (IOException e) {
      Record.line("user: " + id + "? -> no answer: " + e.getMessage());
      return null;
    }
  }

  Job job(String id) {
    return jobs.get(id);
  }

  void taskStarted(String machine, String zone, String task, long attempt) {
    Record.line("machine " + machine + ": " + task + " runs, attempt " + attempt);
    String other = onMachine.put(task, machine);
    if (other != null && !other.equals(machine)) {
      broken(task + " started on " + machine + " while it is on " + other);
    }
  }

  void taskLeft(String machine, String task, long attempt, String why) {
    Record.line("machine " + machine + ": " + task + " ended, attempt " + attempt + ": " + why);
    onMachine.remove(task, machine);
  }

  void taskDone(String task) {
    doneTasks.add(task);
  }

  boolean isTaskDone(String task) {
    return doneTasks.contains(task);
  }

  /** Returns the number of tasks of a job that are on machines now. */
  int running(String job) {
    int running = 0;
    for (String task : new HashSet<>(onMachine.keySet())) {
      running += task.startsWith(job + "/") ? 1 : 0;
    }
    return running;
  }

  String machineOf(String task) {
    return onMachine.get(task);
  }

  boolean awaitRunning(String job, int count, double seconds) {
    double end = Clock.now() + seconds;
    while (running(job) < count && Clock.now() < end) {
      Clock.sleep(0.05);
    }
    return running(job) >= count;
  }

  synchronized void broken(String text) {
    Record.line("BROKEN: " + text);
    broken.add(text);
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  /** Copies the lines of the controllers' logs that contain one of the words to the record. */
  void recordLogs(String... words) {
    for (Controller controller : controllers) {
      try (Stream<String> lines = Files.lines(folder.resolve(controller.name() + ".log"))) {
        lines
            .filter(line -> Arrays.stream(words).anyMatch(line::contains))
            .forEach(line -> Record.line("log of " + controller.name() + ": " + line));
      } catch (IOException e) {
        // There is no log if the controller was never started.
      }
    }
  }

  private boolean closed;

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") == null && folder != null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (IOException e) {
        // What is left is in the folder for temporary files.
      }
    }
  }
}
