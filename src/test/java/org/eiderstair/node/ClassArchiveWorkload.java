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
 * Lets a controller, a process of its own, live through what one does: follow another, relay a
 * worker's heartbeats, take over, lead a fleet. The build records the classes for the archive from
 * it; with more machines and a longer life it tells what each part of that life costs in processor
 * time (docs/operating.md).
 */
// The workload ends with its process: nobody waits for what the timer still has to do.
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

  /** The build wants no figures and no logs. */
  private static final boolean QUIET = Boolean.getBoolean("quiet");

  private static final int MAX_START_SECONDS = 60;

  private final FakePlatform platform;
  private final Process process;
  private final String base;
  private final HttpClient http = new HttpClient();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final long heartbeatMillis;
  private final Map<String, FakeMachine> reporting = new HashMap<>();
  private final List<String> polled = new ArrayList<>();
  private long answered;
  private long jobs;
  private long cpuMillis;
  private long answeredBefore;

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
   * Arguments: machines, seconds of leading, jobs a minute, then the command line of the
   * controller.
   */
  public static void main(String[] args) throws Exception {
    try {
      run(args);
    } catch (Exception e) {
      if (!QUIET) {
        throw e;
      }
      // Seen on a machine at nearly three times its load: the build failed here, for what only
      // makes starts faster.
      giveUp(e.toString());
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
      Files.writeString(file, String.format(SETTINGS, port, freePort(), platform.port()));
      platform.put("e/leader", Map.of("node", "other", "lease", 1L, "run", "other-1"));
      platform.rentByEarlierLeader(machines / 2);
      List<String> command = new ArrayList<>(List.of(args).subList(3, args.length));
      command.addAll(List.of("serve", "--config", file.toString()));
      ProcessBuilder start = new ProcessBuilder(command).inheritIO();
      if (QUIET) {
        start
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD);
      }
      Process process = start.start();
      watch(process, seconds);
      ClassArchiveWorkload life =
          new ClassArchiveWorkload(platform, process, port, machines > 20 ? 3000 : 300);
      try {
        life.playLife(seconds, jobsPerMinute);
      } finally {
        process.destroy();
        process.waitFor(30, TimeUnit.SECONDS);
        life.timer.shutdownNow();
        life.http.stop();
      }
    } finally {
      Files.delete(file);
    }
  }

  /** A build must not wait for ever for what only makes starts faster. */
  private static void watch(Process process, int seconds) {
    Thread watch =
        new Thread(
            () -> {
              try {
                Thread.sleep((MAX_START_SECONDS + seconds) * 1000L);
              } catch (InterruptedException e) {
                return;
              }
              giveUp("too slow");
              process.destroyForcibly();
              Runtime.getRuntime().halt(0);
            });
    watch.setDaemon(true);
    watch.start();
  }

  private static void giveUp(String why) {
    System.err.println(
        "class archive workload: given up ("
            + why
            + "); the program runs without its class archive, but starts slower");
  }

  private void playLife(int seconds, int jobsPerMinute) throws Exception {
    while (status(HttpMethod.GET, "/ready", null) != 200) {
      Thread.sleep(20);
    }
    phase("start until ready");
    // A worker that returns early cannot reach the leader: its heartbeats are relayed.
    FakeMachine first = platform.machines().get(0);
    for (int i = 0; i < 3; i++) {
      status(HttpMethod.POST, "/agent/beat", MessagePackCodec.write(first.heartbeat()));
    }
    phase("follower: three reports, " + platform.relayedHeartbeats() + " relayed");
    platform.put("e/leader", null);
    timer.scheduleAtFixedRate(this::startHeartbeats, 0, 10, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(this::submit, 0, 60_000 / jobsPerMinute, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(
        this::poll, 500, 5000 / Math.max(1, jobsPerMinute / 6), TimeUnit.MILLISECONDS);
    for (int i = 0; i < Math.max(seconds, 1); i++) {
      Thread.sleep(1000);
      if (i < 3 || i % 10 == 9 || i == seconds - 1) {
        phase("leading, second " + (i + 1) + ", machines " + reporting.size());
      }
    }
    status(HttpMethod.POST, "/work/job-000001/cancel", null);
    status(HttpMethod.POST, "/work/job-000002/cancel", null);
  }

  private synchronized void startHeartbeats() {
    for (FakeMachine machine : platform.machines()) {
      if (reporting.putIfAbsent(machine.id(), machine) == null) {
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
                boolean soon = false;
                try {
                  if (result.isSucceeded() && result.getResponse().getStatus() == 200) {
                    soon = machine.execute(MessagePackCodec.readMap(getContent()));
                    count();
                  }
                } catch (MalformedMessageException e) {
                  System.err.println(
                      "class archive workload: unreadable answer: " + e.getMessage());
                }
                long pause = soon ? 500 : (long) (heartbeatMillis * (0.75 + Math.random() / 2));
                if (!timer.isShutdown()) {
                  timer.schedule(() -> sendHeartbeat(machine), pause, TimeUnit.MILLISECONDS);
                }
              }
            });
  }

  private synchronized void count() {
    answered++;
  }

  private synchronized void submit() {
    String id = String.format("job-%06d", ++jobs);
    polled.add(id);
    send(HttpMethod.POST, "/work", MessagePackCodec.write(SampleMessages.submission(id, 12, 2.0)));
  }

  private synchronized void poll() {
    if (!polled.isEmpty()) {
      send(HttpMethod.GET, "/work/" + polled.get((int) (Math.random() * polled.size())), null);
    }
  }

  private void send(HttpMethod method, String path, byte[] body) {
    var request = http.newRequest(base + path).method(method).timeout(4, TimeUnit.SECONDS);
    (body == null ? request : request.body(new BytesRequestContent("application/msgpack", body)))
        .send(r -> {});
  }

  private int status(HttpMethod method, String path, byte[] body) throws Exception {
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

  /** Processor time since the phase before, as the system counts it in the process's status. */
  private void phase(String what) throws IOException {
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
                + what
                + ": "
                + (millis - cpuMillis)
                + " ms of processor time, "
                + (answered - answeredBefore)
                + " reports answered, "
                + rss);
      }
      answeredBefore = answered;
    }
    cpuMillis = millis;
    if (Boolean.getBoolean("threads")) {
      Map<String, Long> now = new java.util.TreeMap<>();
      try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
        for (Path t : tasks.toList()) {
          String name = Files.readString(t.resolve("comm")).trim();
          long ns = Long.parseLong(Files.readString(t.resolve("schedstat")).split(" ")[0]);
          now.merge(name, ns / 1000, Long::sum);
        }
      }
      StringBuilder line = new StringBuilder("threads:");
      now.forEach(
          (n, us) -> {
            long d = us - threadMicros.getOrDefault(n, 0L);
            if (d > 1000) {
              line.append(' ').append(n).append('=').append(d / 1000);
            }
          });
      threadMicros = now;
      System.out.println(line);
    }
  }

  private Map<String, Long> threadMicros = new HashMap<>();

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
