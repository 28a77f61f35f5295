import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Users' requests, sent to one node after another as a load balancer does. */
final class Users {
  private final Map<String, String> nodes;
  private final Record record;
  private int next;

  Users(Map<String, String> nodes, Record record) {
    this.nodes = nodes;
    this.record = record;
  }

  static Map<String, Object> job(
      String id, String jobClass, String team, String urgency, long pieces, double cpus, double memoryGb) {
    Map<String, Object> job = new LinkedHashMap<>();
    job.put("Id", id);
    job.put("JobkindGroup", jobClass);
    job.put("Crew", team);
    job.put("Shape", "sweep");
    job.put("Urgency", urgency);
    job.put("Pieces", pieces);
    job.put("Cores", cpus);
    job.put("Accelerators", 0.0);
    job.put("MemoryGb", memoryGb);
    job.put("Bundle", "img-01");
    job.put("ImageGb", 0.7);
    job.put("Hulls", null);
    job.put("Fjord", null);
    job.put("OneZone", false);
    job.put("Scatter", false);
    job.put("Driftwood", true);
    job.put("GuessS", 5.0);
    job.put("CairnEveryS", 0.0);
    job.put("CairnS", 0.0);
    job.put("DueS", null);
    return job;
  }

  String address(String node) {
    return nodes.get(node);
  }

  synchronized String nextNode() {
    List<String> names = new ArrayList<>(nodes.keySet());
    return names.get(next++ % names.size());
  }

  /** One request to one node; null if no response came. */
  Http.Response call(String node, String method, String path, Object body, int timeoutMillis) {
    try (Http.Client client = new Http.Client(nodes.get(node))) {
      return client.call(method, path, body, timeoutMillis);
    } catch (IOException e) {
      return null;
    }
  }

  /** Submits and repeats after a second, for the given time; returns whether it was accepted. */
  boolean submit(Map<String, Object> job, double forSeconds) throws InterruptedException {
    double end = record.seconds() + forSeconds;
    while (record.seconds() < end) {
      String node = nextNode();
      Http.Response response = call(node, "POST", "/work", job, 5000);
      String answer = response == null ? "no response" : response.status() + " " + response.map();
      if (response != null && (response.status() == 200 || response.status() == 201)) {
        record.log("submit " + job.get("Id") + " at " + node + " -> " + answer);
        return true;
      }
      if (response != null && (response.status() == 400 || response.status() == 422)) {
        record.log("submit " + job.get("Id") + " at " + node + " -> " + answer);
        return false;
      }
      Thread.sleep(1000);
    }
    record.log("submit " + job.get("Id") + " not accepted in " + forSeconds + " s");
    return false;
  }

  /** Polls once; returns the state, "404", or null for any other answer or none. */
  String poll(String id) {
    String node = nextNode();
    Http.Response response = call(node, "GET", "/work/" + id, null, 2000);
    String answer = response == null ? "no response" : response.status() + " " + response.map();
    record.log("poll " + id + " at " + node + " -> " + answer);
    if (response == null) {
      return null;
    }
    return response.status() == 200
        ? (String) response.map().get("Tide")
        : response.status() == 404 ? "404" : null;
  }
}
