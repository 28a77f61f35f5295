import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The worker of one machine: reports to the controllers and runs tasks, with lease and tokens. */
final class Worker {
  private static final double MIN_CHANGE_INTERVAL = 0.5;
  private static final int REPORT_TIMEOUT_MILLIS = 4000;
  private static final double EPSILON = 1e-9;

  /** One attempt of a task on this machine. */
  private final class Attempt {
    final String task;
    final long number;
    final Site.Job job;
    String state = "fetching";
    String why;
    boolean saved;
    double readyAt;
    double endAt = Double.MAX_VALUE;

    Attempt(String task, long number, Site.Job job) {
      this.task = task;
      this.number = number;
      this.job = job;
    }

    boolean isActive() {
      return !state.equals("ended");
    }

    void finish(String cause) {
      if (state.equals("running") || state.equals("flushing")) {
        site.taskLeft(id, task, number, cause);
      }
      state = "ended";
      why = cause;
      changed = true;
    }
  }

  private final Site site;
  private final String id;
  private final Cloud.Type type;
  private final String zone;
  private final boolean spot;
  private final Random random = new Random();
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Map<String, Double> images = new LinkedHashMap<>();
  private HttpServer server;
  private String address = "127.0.0.1:1";
  private Thread thread;
  private boolean ended;
  private boolean changed = true;
  private long session = 1;
  private long sequence;
  private long token;
  private double lastTokenChange = -1e9;
  private double leaseFrom;
  private int node;

  Worker(Site site, String id, Cloud.Type type, String zone, boolean spot) {
    this.site = site;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    node = random.nextInt(site.controllers.size());
    try {
      server = Net.serve("127.0.0.1", 0, this::handle);
      address = "127.0.0.1:" + server.getAddress().getPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  String id() {
    return id;
  }

  Cloud.Type type() {
    return type;
  }

  String zone() {
    return zone;
  }

  boolean spot() {
    return spot;
  }

  String address() {
    return address;
  }

  synchronized double freeCpus() {
    double free = type.cpus();
    for (Attempt attempt : attempts.values()) {
      free -= attempt.isActive() ? attempt.job.cpus() : 0;
    }
    return free;
  }

  synchronized double freeMemoryGb() {
    double free = type.memoryGb();
    for (Attempt attempt : attempts.values()) {
      free -= attempt.isActive() ? attempt.job.memoryGb() : 0;
    }
    return free;
  }

  synchronized boolean isEnded() {
    return ended;
  }

  synchronized List<String> runningTasks() {
    List<String> running = new ArrayList<>();
    for (Attempt attempt : attempts.values()) {
      if (attempt.state.equals("running") || attempt.state.equals("flushing")) {
        running.add(attempt.task);
      }
    }
    return running;
  }

  synchronized void start() {
    leaseFrom = Clock.now();
    thread = new Thread(this::reportLoop, id);
    thread.setDaemon(true);
    thread.start();
    Record.line("machine " + id + " is up in zone " + zone + ": " + type.name());
  }

  /** The machine is gone with all that is on it. */
  synchronized void end(String reason) {
    ended = true;
    server.stop(0);
    killAll(reason);
    Record.line("machine " + id + " in zone " + zone + " is gone: " + reason);
  }

  private void killAll(String reason) {
    for (Attempt attempt : attempts.values()) {
      if (attempt.state.equals("running") || attempt.state.equals("flushing")) {
        site.taskLeft(id, attempt.task, attempt.number, reason);
      }
    }
    attempts.clear();
  }

  private void reportLoop() {
    Net.Client client = new Net.Client(site.controllers.get(node).address());
    double lastReport = -1e9;
    double nextReport = 0;
    while (true) {
      Clock.sleep(0.05);
      Map<String, Object> report;
      double sent = Clock.now();
      synchronized (this) {
        if (ended) {
          client.close();
          return;
        }
        advance();
        boolean due = sent >= nextReport || (changed && sent >= lastReport + MIN_CHANGE_INTERVAL);
        if (!due) {
          continue;
        }
        changed = false;
        report = report();
      }
      lastReport = sent;
      nextReport = sent + site.reportS * (0.75 + 0.5 * random.nextDouble());
      int next = -1;
      double pause = 1;
      try {
        Net.Reply reply = client.send("POST", "/agent/beat", report, REPORT_TIMEOUT_MILLIS);
        if (reply.status() == 200) {
          accept(sent, (Long) report.get("Watch"), reply.body());
          continue;
        }
        next = (node + 1) % site.controllers.size();
        if (reply.status() == 421 && reply.body().get("Harbour") != null) {
          int named = site.controllerIndex((String) reply.body().get("Harbour"));
          if (named >= 0 && named != node) {
            next = named;
            pause = 0.25 * random.nextDouble();
          }
        }
      } catch (IOException e) {
        next = (node + 1) % site.controllers.size();
      }
      client.close();
      node = next;
      client = new Net.Client(site.controllers.get(node).address());
      Clock.sleep(pause);
      nextReport = 0;
    }
  }

  /** Moves tasks on and ends the session when its lease is over. */
  private void advance() {
    double now = Clock.now();
    if (now > leaseFrom + site.leaseS) {
      Record.line("machine " + id + ": the lease of session " + session + " is over");
      killAll("lease over");
      session++;
      leaseFrom = now;
      changed = true;
    }
    for (Attempt attempt : attempts.values()) {
      if (attempt.state.equals("fetching") && now >= attempt.readyAt) {
        attempt.state = "running";
        attempt.endAt =
            attempt.job.standing() ? Double.MAX_VALUE : now + attempt.job.runS();
        site.taskStarted(id, zone, attempt.task, attempt.number);
        changed = true;
      } else if (attempt.state.equals("running") && now >= attempt.endAt) {
        site.taskDone(attempt.task);
        attempt.finish("done");
      } else if (attempt.state.equals("flushing") && now >= attempt.endAt) {
        attempt.saved = true;
        attempt.finish("halted");
      }
    }
  }

  private Map<String, Object> report() {
    List<Object> pieces = new ArrayList<>();
    for (Attempt attempt : attempts.values()) {
      Map<String, Object> piece =
          Pack.map("Piece", attempt.task, "Try", attempt.number, "Tide", attempt.state);
      if (attempt.why != null) {
        piece.put("Cause", attempt.why);
        if (attempt.saved) {
          piece.put("Saved", true);
        }
      }
      pieces.add(piece);
    }
    sequence++;
    return Pack.map(
        "Skerry", id, "Endpoint", address, "Hull", type.name(), "Fjord", zone, "Driftwood", spot,
        "Watch", session, "Tally", sequence, "Baton", token, "WarningS", null, "Pieces", pieces);
  }

  private synchronized void accept(double sent, long ofSession, Map<String, Object> answer) {
    Object given = answer.get("Baton");
    if (ended || ofSession != session || !(given instanceof Long) || (Long) given < token) {
      return;
    }
    raiseToken((Long) given);
    leaseFrom = Math.max(leaseFrom, sent);
    execute((List<?>) answer.get("Orders"));
  }

  private void raiseToken(long given) {
    if (given > token) {
      token = given;
      if (Clock.now() >= lastTokenChange + site.leaseS / 2) {
        lastTokenChange = Clock.now();
        changed = true;
      }
    }
  }

  private Net.Reply handle(
      String method, String path, Map<String, String> query, Map<String, Object> body) {
    synchronized (this) {
      if (ended) {
        return null;
      }
      advance();
      if (path.equals("/status")) {
        return new Net.Reply(200, report());
      }
      if (!path.equals("/commands")
          || !(body.get("Baton") instanceof Long)
          || !(body.get("Watch") instanceof Long)) {
        return new Net.Reply(400, Pack.map("error", "malformed"));
      }
      long given = (Long) body.get("Baton");
      if (given < token || (Long) body.get("Watch") != session) {
        return new Net.Reply(409, report());
      }
      raiseToken(given);
      execute((List<?>) body.get("Orders"));
      return new Net.Reply(200, report());
    }
  }

  private void execute(List<?> orders) {
    for (Object element : orders) {
      Map<?, ?> order = (Map<?, ?>) element;
      String task = (String) order.get("Piece");
      long number = (Long) order.get("Try");
      String key = task + "#" + number;
      switch ((String) order.get("Verb")) {
        case "launch" -> launch(key, task, number);
        case "kill" -> kill(attempts.get(key), ((Number) order.get("LeewayS")).doubleValue());
        case "reap" -> {
          Attempt attempt = attempts.get(key);
          if (attempt != null && !attempt.isActive()) {
            attempts.remove(key);
          }
        }
        default -> {}
      }
    }
  }

  private void launch(String key, String task, long number) {
    if (attempts.containsKey(key)) {
      return;
    }
    Site.Job job = site.job(task.substring(0, task.indexOf('/')));
    Attempt attempt = new Attempt(task, number, job);
    boolean busy =
        attempts.values().stream().anyMatch(other -> other.task.equals(task) && other.isActive());
    boolean full =
        job != null
            && (job.cpus() > freeCpus() + EPSILON || job.memoryGb() > freeMemoryGb() + EPSILON);
    attempts.put(key, attempt);
    changed = true;
    Record.line("machine " + id + ": launch " + task + " attempt " + number);
    if (job == null) {
      attempt.finish("no_such");
    } else if (busy) {
      attempt.finish("busy");
    } else if (full) {
      attempt.finish("full");
    } else {
      double now = Clock.now();
      double fetched = images.getOrDefault(job.image(), now + job.imageGb() / site.pullGbPerS);
      images.put(job.image(), fetched);
      attempt.readyAt = Math.max(now, fetched);
      if (site.isTaskDone(task)) {
        attempt.readyAt = Double.MAX_VALUE;
        attempt.finish("done");
      }
    }
  }

  private void kill(Attempt attempt, double leeway) {
    if (attempt == null || !attempt.isActive()) {
      return;
    }
    if (attempt.state.equals("running")
        && attempt.job.checkpointS() > 0
        && leeway >= attempt.job.saveS()) {
      attempt.state = "flushing";
      attempt.endAt = Clock.now() + attempt.job.saveS();
      changed = true;
    } else if (!attempt.state.equals("flushing") || leeway == 0) {
      attempt.finish("halted");
    }
  }
}
