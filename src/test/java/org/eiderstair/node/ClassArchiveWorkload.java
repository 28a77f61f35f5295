package org.eiderstair.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.SampleMessages;

/**
 * Starts a controller in a process of its own and drives it through its usual phases. It follows
 * another leader, relays a worker's heartbeats, takes over and leads a fleet. The build records the
 * classes for the class archive from this run. With more machines and a longer run, the workload
 * prints the processor time of each phase (docs/operating.md).
 */
// The timer's futures are ignored: its pending tasks end with this process.
@SuppressWarnings("FutureReturnValueIgnored")
public final class ClassArchiveWorkload {
  private static final String SETTINGS =
      """
      node = "recorded"
      bind = "127.0.0.1:%1$d"
      peer_bind = "127.0.0.1:%2$d"
      [[others]]
      node = "other"
      address = "127.0.0.1:%3$d"
      [endpoints]
      cloud = "127.0.0.1:%3$d"
      state = "127.0.0.1:%3$d"
      [settings]
      zones = ["z"]
      [[settings.teams]]
      name = "red"
      cpus = 4.0
      cpus_max = 100000.0
      [[settings.objectives]]
      kind = "wait"
      class = "c"
      within_s = 5.0
      share = 0.9
      [settings.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      [settings.state]
      rps = 200.0
      write_rps = 100.0
      value_kb = 32.0
      txn_ops = 16
      [settings.cloud]
      rps = 20.0
      list_lag_s = 5.0
      [settings.resources]
      cpu = 1.0
      mem_mb = 171.0
      max_connections = 1500
      """;

  /** Set by the build, which needs neither figures nor logs. */
  private static final boolean QUIET = Boolean.getBoolean("quiet");

  private static final int MAX_START_SECONDS = 60;

  private final FakePlatform platform;
  private final Process process;
  private final String base;
  private final HttpClient http = new HttpClient();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final long heartbeatMillis;
  private final Map<String, FakeMachine> reportingMachines = new HashMap<>();
  private final List<String> submittedJobIds = new ArrayList<>();
  private long answeredHeartbeats;
  private long submittedJobs;
  private long cpuMillisBeforePhase;
  private long answeredBeforePhase;

  private ClassArchiveWorkload(
      FakePlatform platform, Process process, int port, long heartbeatMillis) throws Exception {
    this.platform = platform;
    this.process = process;
    this.base = "http://127.0.0.1:" + port;
    this.heartbeatMillis = heartbeatMillis;
    http.setMaxConnectionsPerDestination(4);
    http.start();
  }

  /**
   * Runs the workload. The arguments are the number of machines, the seconds to lead, the jobs per
   * minute, then the command line of the controller.
   */
  public static void main(String[] args) throws Exception {
    try {
      run(args);
    } catch (Exception e) {
      if (!QUIET) {
        throw e;
      }
      // The archive only speeds up starts, so a failure must not fail the build. The build failed
      // here on a machine at nearly three times its load.
      reportFailure(e.toString());
    }
    System.exit(0);
  }

  private static void run(String[] args) throws Exception {
    int machines = Integer.parseInt(args[0]);
    int seconds = Integer.parseInt(args[1]);
    int jobsPerMinute = Integer.parseInt(args[2]);
    int port = freePort();
    Path file = Files.createTempFile("eiderstair", ".toml");
    try (FakePlatform platform = new FakePlatform(machines, 2000)) {
      platform.usePlainSpelling();
      Files.writeString(file, String.format(SETTINGS, port, freePort(), platform.port()));
      platform.put("e/leader", Map.of("node", "other", "lease", 1L, "run", "other-1"));
      platform.addMachinesOfEarlierLeader(machines / 2);
      List<String> command = new ArrayList<>(List.of(args).subList(3, args.length));
      command.addAll(List.of("serve", "--config", file.toString()));
      ProcessBuilder processBuilder = new ProcessBuilder(command).inheritIO();
      if (QUIET) {
        processBuilder
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD);
      }
      Process process = processBuilder.start();
      startWatchdog(process, seconds);
      ClassArchiveWorkload workload =
          new ClassArchiveWorkload(platform, process, port, machines > 20 ? 3000 : 300);
      try {
        workload.runPhases(seconds, jobsPerMinute);
      } finally {
        process.destroy();
        process.waitFor(30, TimeUnit.SECONDS);
        workload.timer.shutdownNow();
        workload.http.stop();
      }
    } finally {
      Files.delete(file);
    }
  }

  /** Ends a workload that takes too long: the build must not wait forever for the class archive. */
  private static void startWatchdog(Process process, int seconds) {
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep((MAX_START_SECONDS + seconds) * 1000L);
              } catch (InterruptedException e) {
                return;
              }
              reportFailure("time limit exceeded");
              process.destroyForcibly();
              Runtime.getRuntime().halt(0);
            });
    watchdog.setDaemon(true);
    watchdog.start();
  }

  private static void reportFailure(String reason) {
    System.err.println(
        "class archive workload: failed ("
            + reason
            + "); the program runs without its class archive, but starts more slowly");
  }

  private void runPhases(int seconds, int jobsPerMinute) throws Exception {
    while (sendAndAwaitStatus(HttpMethod.GET, "/ready", null) != 200) {
      Thread.sleep(20);
    }
    endPhase("start until ready");
    // The follower treats a worker that returns early as unable to reach the leader, and relays its
    // heartbeats.
    FakeMachine first = platform.machines().get(0);
    for (int i = 0; i < 3; i++) {
      sendAndAwaitStatus(HttpMethod.POST, "/agent/beat", MessagePackCodec.write(first.heartbeat()));
    }
    endPhase("follower, three heartbeats, " + platform.relayedHeartbeats() + " relayed");
    platform.put("e/leader", null);
    timer.scheduleAtFixedRate(this::startHeartbeats, 0, 10, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(this::submit, 0, 60_000 / jobsPerMinute, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(
        this::poll, 500, 5000 / Math.max(1, jobsPerMinute / 6), TimeUnit.MILLISECONDS);
    for (int i = 0; i < Math.max(seconds, 1); i++) {
      Thread.sleep(1000);
      if (i < 3 || i % 10 == 9 || i == seconds - 1) {
        endPhase("leading, second " + (i + 1) + ", machines " + reportingMachines.size());
      }
    }
    sendAndAwaitStatus(HttpMethod.POST, "/work/job-000001/cancel", null);
    sendAndAwaitStatus(HttpMethod.POST, "/work/job-000002/cancel", null);
  }

  private synchronized void startHeartbeats() {
    for (FakeMachine machine : platform.machines()) {
      if (reportingMachines.putIfAbsent(machine.id(), machine) == null) {
        timer.schedule(
            () -> sendHeartbeat(machine),
            (long) (Math.random() * heartbeatMillis),
            TimeUnit.MILLISECONDS);
      }
    }
  }

  private void sendHeartbeat(FakeMachine machine) {
    http.newRequest(base + "/agent/beat")
        .method(HttpMethod.POST)
        .tag(machine.id())
        .body(
            new BytesRequestContent(
                "application/msgpack", MessagePackCodec.write(machine.heartbeat())))
        .timeout(4, TimeUnit.SECONDS)
        .send(
            new BufferingResponseListener() {
              @Override
              public void onComplete(Result result) {
                boolean stateChanged = false;
                try {
                  if (result.isSucceeded() && result.getResponse().getStatus() == 200) {
                    stateChanged = machine.execute(MessagePackCodec.readMap(getContent()));
                    countAnsweredHeartbeat();
                  }
                } catch (MalformedMessageException e) {
                  System.err.println(
                      "class archive workload: cannot decode the answer to a heartbeat: "
                          + e.getMessage());
                }
                long pauseMillis =
                    stateChanged ? 500 : (long) (heartbeatMillis * (0.75 + Math.random() / 2));
                if (!timer.isShutdown()) {
                  timer.schedule(() -> sendHeartbeat(machine), pauseMillis, TimeUnit.MILLISECONDS);
                }
              }
            });
  }

  private synchronized void countAnsweredHeartbeat() {
    answeredHeartbeats++;
  }

  private synchronized void submit() {
    String id = String.format("job-%06d", ++submittedJobs);
    submittedJobIds.add(id);
    send(HttpMethod.POST, "/work", MessagePackCodec.write(SampleMessages.submission(id, 12, 2.0)));
  }

  private synchronized void poll() {
    if (!submittedJobIds.isEmpty()) {
      send(
          HttpMethod.GET,
          "/work/" + submittedJobIds.get((int) (Math.random() * submittedJobIds.size())),
          null);
    }
  }

  private void send(HttpMethod method, String path, byte[] body) {
    var request = http.newRequest(base + path).method(method).timeout(4, TimeUnit.SECONDS);
    (body == null ? request : request.body(new BytesRequestContent("application/msgpack", body)))
        .send(result -> {});
  }

  private int sendAndAwaitStatus(HttpMethod method, String path, byte[] body) throws Exception {
    try {
      var request = http.newRequest(base + path).method(method).timeout(4, TimeUnit.SECONDS);
      return (body == null
              ? request
              : request.body(new BytesRequestContent("application/msgpack", body)))
          .send()
          .getStatus();
    } catch (java.util.concurrent.ExecutionException e) {
      return 0;
    }
  }

  /**
   * Prints the processor time since the previous phase, as the kernel counts it for the process,
   * and its resident memory.
   */
  private void endPhase(String name) throws IOException {
    Path stat = Path.of("/proc/" + process.pid() + "/stat");
    String[] fields = Files.readString(stat).replaceAll("^.*\\) ", "").split(" ");
    long millis = 10 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
    String rss = "";
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmRSS")) {
        rss = line.substring(6).trim();
      }
    }
    synchronized (this) {
      if (!QUIET) {
        System.out.println(
            "class archive workload: "
                + name
                + ": "
                + (millis - cpuMillisBeforePhase)
                + " ms of processor time, "
                + (answeredHeartbeats - answeredBeforePhase)
                + " heartbeats answered, "
                + rss);
      }
      answeredBeforePhase = answeredHeartbeats;
    }
    cpuMillisBeforePhase = millis;
    if (Boolean.getBoolean("threads")) {
      Map<String, Long> threadMicros = new java.util.TreeMap<>();
      try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
        for (Path task : tasks.toList()) {
          String threadName = Files.readString(task.resolve("comm")).trim();
          long nanos = Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]);
          threadMicros.merge(threadName, nanos / 1000, Long::sum);
        }
      }
      StringBuilder line = new StringBuilder("threads:");
      threadMicros.forEach(
          (threadName, micros) -> {
            long spentMicros = micros - previousThreadMicros.getOrDefault(threadName, 0L);
            if (spentMicros > 1000) {
              line.append(' ').append(threadName).append('=').append(spentMicros / 1000);
            }
          });
      previousThreadMicros = threadMicros;
      System.out.println(line);
    }
  }

  private Map<String, Long> previousThreadMicros = new HashMap<>();

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
