import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** One machine with its worker, by the protocol's pages "Workers" and "Controller nodes -> workers". */
final class Machine implements Http.Handler {
  private static final int MAX_BODY = 64 * 1024;
  private static final int RESPONSE_TIMEOUT_MILLIS = 4000;

  private static final class Task {
    final String name;
    final long attempt;
    final Map<String, Object> job;
    String state = "fetching";
    String cause;
    double readyAtS;
    double endsAtS;
    boolean saved;

    Task(String name, long attempt, Map<String, Object> job) {
      this.name = name;
      this.attempt = attempt;
      this.job = job;
    }

    double number(String field) {
      return ((Number) job.get(field)).doubleValue();
    }
  }

  final String id;
  final Platform.Type type;
  final String zone;
  final boolean spot;
  final double bootS;
  private final Platform platform;
  private final Record record;
  private final Http.Server server;
  private final double createdS;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Double> images = new LinkedHashMap<>();
  private volatile boolean deleted;
  private long session = 1;
  private long tally;
  private long baton;
  private double answeredSentS;
  private boolean changed;

  Machine(
      String id,
      Platform.Type type,
      String zone,
      boolean spot,
      double bootS,
      Platform platform,
      Record record)
      throws IOException {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.bootS = bootS;
    this.platform = platform;
    this.record = record;
    this.createdS = record.seconds();
    this.server = new Http.Server(this);
    Http.daemon("machine " + id, this::run);
  }

  String address() {
    return server.address();
  }

  double ageS() {
    return record.seconds() - createdS;
  }

  private boolean isUp() {
    return !deleted && ageS() >= bootS;
  }

  synchronized void delete() {
    deleted = true;
    tasks.values().stream()
        .filter(task -> task.state.equals("running"))
        .forEach(task -> platform.ended(task.name, this, "machine gone"));
    tasks.clear();
    try {
      server.close();
    } catch (IOException e) {
      // Closed anyway.
    }
  }

  /** Whether the machine is up and has this many processors that no task takes. */
  synchronized boolean hasRoom(double cpus) {
    double used = 0;
    for (Task task : tasks.values()) {
      used += task.state.equals("ended") ? 0 : task.number("Cores");
    }
    return isUp() && used + cpus <= type.cpus();
  }

  private void run() {
    List<String> nodes = new ArrayList<>(platform.settings.nodes().keySet());
    int node = ThreadLocalRandom.current().nextInt(nodes.size());
    Map<String, Http.Client> clients = new LinkedHashMap<>();
    platform.settings.nodes().forEach((name, at) -> clients.put(name, new Http.Client(at)));
    try {
      while (!isUp()) {
        if (deleted) {
          return;
        }
        Thread.sleep(20);
      }
      synchronized (this) {
        answeredSentS = record.seconds();
      }
      double nextReportS = 0;
      double lastReportS = -1;
      while (!deleted) {
        Thread.sleep(20);
        double now = record.seconds();
        advance(now);
        boolean due = now >= nextReportS || (changed && now >= lastReportS + 0.5);
        if (!due) {
          continue;
        }
        Map<String, Object> report;
        long reportSession;
        synchronized (this) {
          changed = false;
          report = report();
          reportSession = session;
        }
        if (MsgPack.jsonSize(report) > MAX_BODY) {
          platform.oversizeReports++;
        }
        lastReportS = now;
        double pause =
            platform.settings.reportS() * (0.75 + ThreadLocalRandom.current().nextDouble() * 0.5);
        try {
          Http.Response response =
              clients.get(nodes.get(node)).call("POST", "/agent/beat", report, RESPONSE_TIMEOUT_MILLIS);
          if (response.status() == 200) {
            nextReportS = now + pause;
            answered(response.map(), reportSession, now);
          } else {
            Object harbour = response.status() == 421 ? response.map().get("Harbour") : null;
            int next = harbour == null ? -1 : nodes.indexOf(harbour);
            if (next >= 0 && next != node) {
              clients.get(nodes.get(node)).close();
              node = next;
              nextReportS = now + ThreadLocalRandom.current().nextDouble() * 0.5;
            } else {
              node = (node + 1) % nodes.size();
              nextReportS = record.seconds() + 1;
            }
          }
        } catch (IOException e) {
          node = (node + 1) % nodes.size();
          nextReportS = record.seconds() + 1;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      clients.values().forEach(Http.Client::close);
    }
  }

  /** Ends fetches and tasks, and the session when its lease is over. */
  private synchronized void advance(double now) {
    if (deleted) {
      return;
    }
    if (now > answeredSentS + platform.settings.leaseS()) {
      record.log("lease over machine=" + id + " session=" + session + " tasks=" + tasks.size());
      platform.lostSessions++;
      tasks.values().stream()
          .filter(task -> task.state.equals("running"))
          .forEach(task -> platform.ended(task.name, this, "lease over"));
      tasks.clear();
      session++;
      tally = 0;
      answeredSentS = now;
      changed = true;
    }
    for (Task task : tasks.values()) {
      if (task.state.equals("fetching") && now >= task.readyAtS) {
        task.state = "running";
        task.endsAtS = now + platform.runSeconds((String) task.job.get("Id"));
        platform.started(task.name, task.attempt, this);
        changed = true;
      } else if (task.state.equals("running") && now >= task.endsAtS) {
        end(task, "done");
      }
    }
  }

  private void end(Task task, String cause) {
    boolean wasOn = task.state.equals("running");
    task.state = "ended";
    task.cause = cause;
    changed = true;
    if (wasOn) {
      platform.ended(task.name, this, cause);
    }
  }

  private Map<String, Object> report() {
    List<Object> pieces = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("Piece", task.name);
      entry.put("Try", task.attempt);
      entry.put("Tide", task.state);
      if (task.cause != null) {
        entry.put("Cause", task.cause);
      }
      pieces.add(entry);
    }
    Map<String, Object> report = new LinkedHashMap<>();
    report.put("Skerry", id);
    report.put("Endpoint", address());
    report.put("Hull", type.name());
    report.put("Fjord", zone);
    report.put("Driftwood", spot);
    report.put("Watch", session);
    report.put("Tally", ++tally);
    report.put("Baton", baton);
    report.put("WarningS", null);
    report.put("Pieces", pieces);
    return report;
  }

  /** Takes a 200 response to a report. One that is longer than the protocol allows is dropped. */
  private synchronized void answered(
      Map<String, Object> answer, long reportSession, double sentS) {
    if (MsgPack.jsonSize(answer) > MAX_BODY) {
      platform.oversizeResponses++;
      record.log(
          "response over 64 KiB dropped machine=" + id + " bytes=" + MsgPack.jsonSize(answer));
      return;
    }
    long token = answer.get("Baton") instanceof Long value ? value : -1;
    if (deleted || token < baton || reportSession != session) {
      return;
    }
    if (token > baton) {
      baton = token;
      changed = true;
    }
    answeredSentS = Math.max(answeredSentS, sentS);
    execute((List<?>) answer.getOrDefault("Orders", List.of()));
  }

  @Override
  public Http.Response handle(Http.Request request) {
    synchronized (this) {
      if (!isUp()) {
        return new Http.Response(0, null);
      }
      if (request.path().equals("/status")) {
        return Http.Response.of(200, report());
      }
      Map<String, Object> message = MsgPack.readMap(request.body());
      if (MsgPack.jsonSize(message) > MAX_BODY) {
        platform.oversizeCommands++;
        record.log(
            "command over 64 KiB refused machine=" + id + " bytes=" + MsgPack.jsonSize(message));
        return Http.Response.of(400, Map.of("error", "too long"));
      }
      if (!(message.get("Baton") instanceof Long token)
          || !(message.get("Watch") instanceof Long watch)) {
        return Http.Response.of(400, Map.of("error", "Baton or Watch is missing"));
      }
      if (token < baton || watch != session) {
        return Http.Response.of(409, report());
      }
      if (token > baton) {
        baton = token;
        changed = true;
      }
      execute((List<?>) message.getOrDefault("Orders", List.of()));
      return Http.Response.of(200, report());
    }
  }

  private void execute(List<?> orders) {
    for (Object order : orders) {
      Map<?, ?> map = (Map<?, ?>) order;
      String name = (String) map.get("Piece");
      long attempt = (Long) map.get("Try");
      String key = name + "#" + attempt;
      Task known = tasks.get(key);
      switch ((String) map.get("Verb")) {
        case "launch" -> launch(name, attempt, key, known);
        case "kill" -> {
          if (known != null && !known.state.equals("ended")) {
            end(known, "halted");
          }
        }
        case "reap" -> {
          if (known != null && known.state.equals("ended")) {
            tasks.remove(key);
            changed = true;
          }
        }
        default -> record.log("unknown order " + map);
      }
    }
  }

  private void launch(String name, long attempt, String key, Task known) {
    if (known != null) {
      return;
    }
    String jobId = name.substring(0, name.indexOf('/'));
    Map<String, Object> job = platform.job(jobId);
    Task task = new Task(name, attempt, job);
    changed = true;
    boolean busy =
        tasks.values().stream()
            .anyMatch(other -> other.name.equals(name) && !other.state.equals("ended"));
    tasks.put(key, task);
    if (job == null || Long.parseLong(name.substring(name.indexOf('/') + 1)) >= (Long) job.get("Pieces")) {
      end(task, "no_such");
      return;
    }
    double cpus = 0;
    double memory = 0;
    for (Task other : tasks.values()) {
      if (other != task && !other.state.equals("ended")) {
        cpus += other.number("Cores");
        memory += other.number("MemoryGb");
      }
    }
    if (busy) {
      end(task, "busy");
    } else if (cpus + task.number("Cores") > type.cpus() + 1e-6
        || memory + task.number("MemoryGb") > type.memoryGb() + 1e-6) {
      end(task, "full");
    } else {
      String image = (String) job.get("Bundle");
      Double readyAt = images.get(image);
      if (readyAt == null) {
        readyAt = record.seconds() + task.number("ImageGb");
        images.put(image, readyAt);
      }
      task.readyAtS = readyAt;
    }
  }
}
