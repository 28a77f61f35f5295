import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: rents machines, deletes them and lists them late. A machine that is up has a worker. */
final class Cloud {
  private static final double DEAD_LISTED_AS_RUNNING = 30;

  /** A machine type of the catalog. */
  record Type(
      String name, double cpus, double memoryGb, double price, double spotPrice, double boot) {}

  private static final class Rented {
    final Worker worker;
    final double rentedAt;
    double upAt;
    double diedAt = Double.MAX_VALUE;
    double goneAt = Double.MAX_VALUE;

    Rented(Worker worker, double rentedAt) {
      this.worker = worker;
      this.rentedAt = rentedAt;
    }
  }

  private final Site site;
  private final List<Type> types;
  private final TreeMap<String, Rented> machines = new TreeMap<>();
  private final Map<String, List<String>> answers = new HashMap<>();
  private int count;
  private int rentalRequests;
  private boolean hasCapacity = true;
  private double tokens;
  private double refilled;

  Cloud(Site site, List<Type> types) {
    this.site = site;
    this.types = types;
    this.tokens = 2 * site.cloudRps;
  }

  /** Adds a machine that is up at the start; its age counts from the start. */
  synchronized Worker addRunning(String typeName, String zone, boolean spot) {
    Rented rented = rent(typeName, zone, spot, Clock.now());
    rented.upAt = rented.rentedAt;
    rented.worker.start();
    return rented.worker;
  }

  private Rented rent(String typeName, String zone, boolean spot, double rentedAt) {
    Type type =
        types.stream().filter(each -> each.name().equals(typeName)).findFirst().orElseThrow();
    String id = String.format("i-%06d", ++count);
    Rented rented = new Rented(new Worker(site, id, type, zone, spot), rentedAt);
    machines.put(id, rented);
    return rented;
  }

  synchronized List<Worker> workers() {
    List<Worker> workers = new ArrayList<>();
    for (Rented rented : machines.values()) {
      if (rented.goneAt == Double.MAX_VALUE && rented.diedAt == Double.MAX_VALUE) {
        workers.add(rented.worker);
      }
    }
    return workers;
  }

  /** Sets whether there are machines to rent. */
  synchronized void setHasCapacity(boolean has) {
    hasCapacity = has;
  }

  synchronized int rentalRequests() {
    return rentalRequests;
  }

  /** A machine stops with all that is on it. */
  synchronized void die(String id) {
    machines.get(id).worker.end("the machine stopped");
    machines.get(id).diedAt = Clock.now();
  }

  synchronized boolean isDeleted(String id) {
    return machines.get(id).goneAt != Double.MAX_VALUE;
  }

  Net.Reply handle(
      String method, String path, Map<String, String> query, Map<String, Object> body) {
    Clock.sleep(site.cloudLatency);
    synchronized (this) {
      double now = Clock.now();
      tokens = Math.min(2 * site.cloudRps, tokens + (now - refilled) * site.cloudRps);
      refilled = now;
      if (tokens < 1) {
        return new Net.Reply(429, Pack.map("error", "too many requests"));
      }
      tokens--;
      if (path.equals("/catalog")) {
        return catalog();
      } else if (path.equals("/hosts") && method.equals("POST")) {
        return rent(body);
      } else if (path.equals("/hosts/delete")) {
        return delete((List<?>) body.get("Skerries"));
      } else if (path.equals("/hosts")) {
        return list(query);
      }
    }
    return new Net.Reply(400, Pack.map("error", "malformed"));
  }

  private Net.Reply catalog() {
    List<Object> hulls = new ArrayList<>();
    for (Type type : types) {
      hulls.add(
          Pack.map(
              "Label", type.name(),
              "Cores", type.cpus(),
              "Accelerators", 0.0,
              "MemoryGb", type.memoryGb(),
              "LocalGb", 30.0,
              "PullGbPerS", site.pullGbPerS,
              "Hourly", type.price(),
              "MarketPrice", type.spotPrice(),
              "StartupS", type.boot(),
              "Fjords", site.zones));
    }
    return new Net.Reply(200, Pack.map("Hulls", hulls));
  }

  private Net.Reply rent(Map<String, Object> body) {
    rentalRequests++;
    String request = (String) body.get("Charter");
    List<String> known = answers.get(request);
    if (known == null && !hasCapacity) {
      return new Net.Reply(503, Pack.map("error", "no capacity"));
    }
    if (known == null) {
      known = new ArrayList<>();
      for (long i = 0; i < (Long) body.get("HowMany"); i++) {
        Rented rented =
            rent(
                (String) body.get("Hull"),
                (String) body.get("Fjord"),
                (Boolean) body.get("Driftwood"),
                Clock.now());
        known.add(rented.worker.id());
        boot(rented);
      }
      answers.put(request, known);
    }
    Record.line("cloud: rental " + Pack.json(body) + " -> " + known);
    return new Net.Reply(200, Pack.map("Skerries", known));
  }

  private void boot(Rented rented) {
    double boot = rented.worker.type().boot();
    rented.upAt = Clock.now() + boot;
    Thread thread =
        new Thread(
            () -> {
              Clock.sleep(boot);
              synchronized (this) {
                if (rented.goneAt == Double.MAX_VALUE) {
                  rented.worker.start();
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private Net.Reply delete(List<?> ids) {
    Record.line("cloud: deletion of " + ids);
    for (Object id : ids) {
      Rented rented = machines.get((String) id);
      if (rented != null && rented.goneAt == Double.MAX_VALUE) {
        rented.worker.end("the machine was deleted");
        rented.goneAt = Clock.now();
      }
    }
    return new Net.Reply(200, Pack.map());
  }

  private Net.Reply list(Map<String, String> query) {
    // What was up at the start is listed from the start on.
    double asOf = Math.max(Clock.now() - site.listLag, site.startedAt);
    String after = query.getOrDefault("From", "");
    int page = Math.min(500, Integer.parseInt(query.getOrDefault("Page", "500")));
    List<Object> listed = new ArrayList<>();
    boolean truncated = false;
    for (Map.Entry<String, Rented> entry : machines.tailMap(after, false).entrySet()) {
      Rented rented = entry.getValue();
      if (rented.rentedAt > asOf || rented.goneAt <= asOf) {
        continue;
      }
      if (listed.size() == page) {
        truncated = true;
        break;
      }
      String state = rented.upAt > asOf ? "booting" : "running";
      if (rented.diedAt + DEAD_LISTED_AS_RUNNING <= asOf) {
        state = "failed";
      }
      listed.add(
          Pack.map(
              "Id", entry.getKey(),
              "Endpoint", rented.worker.address(),
              "Hull", rented.worker.type().name(),
              "Fjord", rented.worker.zone(),
              "Driftwood", rented.worker.spot(),
              "Tide", state,
              "AgeS", asOf - rented.rentedAt));
    }
    return new Net.Reply(200, Pack.map("Skerries", listed, "Truncated", truncated));
  }
}
