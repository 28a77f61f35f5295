import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud and its machines, each with a worker. */
final class Platform implements Http.Handler, AutoCloseable {

  /** A machine type of the catalog, which every zone offers. */
  record Type(String name, double cpus, double memoryGb, double hourly, double spot, double bootS) {}

  private final Record record;
  private final List<Type> types;
  private final List<String> zones;
  private final int maxMachines;
  private final double listLagS;
  private final StateService.Bucket requests;
  final Settings settings;
  private final Map<String, Map<String, Object>> rentals = new HashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();

  /** Jobs as their users uploaded them, with the true run time of a task in seconds. */
  final Map<String, Map<String, Object>> jobs = new HashMap<>();

  private final Map<String, Double> runSeconds = new HashMap<>();

  /** The tasks that are on a machine, with the machine. */
  private final Map<String, String> onMachine = new HashMap<>();

  private int created;
  private int starts;
  private int completions;
  private final Map<String, Integer> startsByJob = new HashMap<>();
  private final Map<String, Integer> completionsByJob = new HashMap<>();
  final List<String> ranTwice = new ArrayList<>();
  int oversizeResponses;
  int oversizeCommands;
  int oversizeReports;
  int lostSessions;

  /** The times of workers, and the nodes that they report to. */
  record Settings(double reportS, double leaseS, Map<String, String> nodes) {}

  Platform(
      Record record,
      List<Type> types,
      List<String> zones,
      int maxMachines,
      double listLagS,
      double rps,
      Settings settings) {
    this.record = record;
    this.types = types;
    this.zones = zones;
    this.maxMachines = maxMachines;
    this.listLagS = listLagS;
    this.requests = new StateService.Bucket(rps, 2 * rps);
    this.settings = settings;
  }

  /** Uploads a job's description, as its user does before the submission. */
  synchronized void upload(Map<String, Object> job, double seconds) {
    jobs.put((String) job.get("Id"), job);
    runSeconds.put((String) job.get("Id"), seconds);
  }

  synchronized Map<String, Object> job(String id) {
    return jobs.get(id);
  }

  synchronized double runSeconds(String id) {
    return runSeconds.get(id);
  }

  synchronized void started(String task, long attempt, Machine machine) {
    String other = onMachine.put(task, machine.id);
    if (other != null && !other.equals(machine.id)) {
      ranTwice.add(task + " on " + other + " and " + machine.id);
      record.log("RAN TWICE task=" + task + " on " + other + " and " + machine.id);
    }
    starts++;
    startsByJob.merge(task.substring(0, task.indexOf('/')), 1, Integer::sum);
    if (starts <= 200 || starts % 1000 == 0) {
      record.log("start task=" + task + " attempt=" + attempt + " machine=" + machine.id);
    }
  }

  synchronized void ended(String task, Machine machine, String cause) {
    onMachine.remove(task, machine.id);
    if (cause.equals("done")) {
      completions++;
      completionsByJob.merge(task.substring(0, task.indexOf('/')), 1, Integer::sum);
    }
    if (completions <= 200 || !cause.equals("done")) {
      record.log("end task=" + task + " machine=" + machine.id + " cause=" + cause);
    }
  }

  synchronized int starts() {
    return starts;
  }

  synchronized int completions() {
    return completions;
  }

  synchronized int startsOf(String job) {
    return startsByJob.getOrDefault(job, 0);
  }

  synchronized int completionsOf(String job) {
    return completionsByJob.getOrDefault(job, 0);
  }

  synchronized List<Machine> machines() {
    return new ArrayList<>(machines.values());
  }

  Type type(String name) {
    return types.stream().filter(type -> type.name().equals(name)).findFirst().orElseThrow();
  }

  /** Adds a machine that is up from the start. */
  synchronized Machine addRunning(String type, String zone, boolean spot) throws IOException {
    return create(type, zone, spot, 0);
  }

  private Machine create(String type, String zone, boolean spot, double bootS) throws IOException {
    Machine machine =
        new Machine(
            String.format("i-%06d", ++created), type(type), zone, spot, bootS, this, record);
    machines.put(machine.id, machine);
    return machine;
  }

  @Override
  public Http.Response handle(Http.Request request) throws Exception {
    Thread.sleep(20);
    if (!requests.take(1)) {
      return Http.Response.of(429, Map.of("error", "rate"));
    }
    return switch (request.path()) {
      case "/catalog" -> catalog();
      case "/hosts" -> request.method().equals("POST") ? rent(request) : list(request);
      case "/hosts/delete" -> delete(request);
      default -> Http.Response.of(400, Map.of("error", "no such path"));
    };
  }

  private Http.Response catalog() {
    List<Object> hulls = new ArrayList<>();
    for (Type type : types) {
      Map<String, Object> hull = new LinkedHashMap<>();
      hull.put("Label", type.name());
      hull.put("Cores", type.cpus());
      hull.put("Accelerators", 0.0);
      hull.put("MemoryGb", type.memoryGb());
      hull.put("LocalGb", 30.0);
      hull.put("PullGbPerS", 1.0);
      hull.put("Hourly", type.hourly());
      hull.put("MarketPrice", type.spot());
      hull.put("StartupS", type.bootS());
      hull.put("Fjords", zones);
      hulls.add(hull);
    }
    return Http.Response.of(200, Map.of("Hulls", hulls));
  }

  private synchronized Http.Response rent(Http.Request request) throws IOException {
    Map<String, Object> body = MsgPack.readMap(request.body());
    String charter = (String) body.get("Charter");
    Map<String, Object> known = rentals.get(charter);
    if (known != null) {
      return Http.Response.of(200, known);
    }
    Type type = type((String) body.get("Hull"));
    List<Object> names = new ArrayList<>();
    long howMany = ((Number) body.get("HowMany")).longValue();
    while (names.size() < howMany && machines.size() < maxMachines) {
      names.add(
          create(
                  type.name(),
                  (String) body.get("Fjord"),
                  (Boolean) body.get("Driftwood"),
                  type.bootS())
              .id);
    }
    record.log("cloud: rent " + body + " -> " + names);
    if (names.isEmpty()) {
      return Http.Response.of(503, Map.of("error", "no capacity"));
    }
    Map<String, Object> answer = Map.of("Skerries", names);
    rentals.put(charter, answer);
    return Http.Response.of(200, answer);
  }

  private synchronized Http.Response delete(Http.Request request) {
    List<?> names = (List<?>) MsgPack.readMap(request.body()).get("Skerries");
    record.log("cloud: delete " + names);
    for (Object name : names) {
      Machine machine = machines.remove((String) name);
      if (machine != null) {
        machine.delete();
      }
    }
    return Http.Response.of(200, Map.of());
  }

  private synchronized Http.Response list(Http.Request request) {
    String from = request.query().get("From");
    int page = Integer.parseInt(request.query().getOrDefault("Page", "500"));
    List<Object> listed = new ArrayList<>();
    boolean truncated = false;
    for (Machine machine : machines.tailMap(from == null ? "" : from, false).values()) {
      if (machine.ageS() < listLagS) {
        continue;
      }
      if (listed.size() == page) {
        truncated = true;
        break;
      }
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("Id", machine.id);
      entry.put("Endpoint", machine.address());
      entry.put("Hull", machine.type.name());
      entry.put("Fjord", machine.zone);
      entry.put("Driftwood", machine.spot);
      entry.put("Tide", machine.ageS() - listLagS < machine.bootS ? "booting" : "running");
      entry.put("AgeS", machine.ageS() - listLagS);
      listed.add(entry);
    }
    return Http.Response.of(200, Map.of("Skerries", listed, "Truncated", truncated));
  }

  @Override
  public void close() {
    machines().forEach(Machine::delete);
  }
}
