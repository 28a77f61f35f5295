import java.util.ArrayList;
import java.util.List;

/**
 * More than 256 machines have a little room left; tasks are then queued for machines that never get room,
 * while other machines are empty.
 */
final class FullList implements Case.Scenario {
  private static final int REPLICAS = 32;
  private static final int USUAL_JOBS = 6;
  private static final int BURST_JOBS = 3;
  private static final int MACHINES = REPLICAS * (USUAL_JOBS + BURST_JOBS);
  private static final double CPUS = 15.95;
  private static final double MEMORY_GB = 60;
  private static final double LIMIT = 90;
  private static final double END = 117.5;

  @Override
  public int run(Site site, boolean trouble) throws Exception {
    // The figures of the site file malyska-reykjavik-fleet.
    site.reportS = 5;
    site.leaseS = 26.5;
    site.cancelS = 46.5;
    site.stateRps = 400;
    site.stateWriteRps = 150;
    site.cloudRps = 12;
    site.cpuShare = 0.255;
    site.memoryMb = 414;
    site.maxConnections = 2796;
    site.open(5);
    site.startAllControllers();
    for (int i = 0; i < MACHINES; i++) {
      site.cloud.addRunning("hekla-16", site.zones.get(i % 3), false);
    }
    if (!site.awaitReady(5, 20)) {
      return Case.NOT_RUN;
    }
    Clock.sleep(5);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < USUAL_JOBS; i++) {
      ids.add(submit(site, i + 1));
      Clock.sleep(0.45);
    }
    if (!awaitAll(site, ids, 15)) {
      Record.line("the usual jobs did not start");
      return Case.NOT_RUN;
    }
    Record.line("all replicas of the usual jobs run");
    if (trouble) {
      for (int i = 0; i < BURST_JOBS; i++) {
        ids.add(submit(site, USUAL_JOBS + i + 1));
        Clock.sleep(0.15);
      }
      Record.line("the burst is over");
    }
    double waitsSince = -1;
    double nextLine = 0;
    while (Clock.now() < END) {
      Clock.sleep(0.5);
      int missing = ids.size() * REPLICAS - running(site, ids);
      int empty = 0;
      for (Worker worker : site.cloud.workers()) {
        empty += worker.freeCpus() >= CPUS && worker.freeMemoryGb() >= MEMORY_GB ? 1 : 0;
      }
      if (missing == 0 || empty == 0) {
        waitsSince = -1;
      } else if (waitsSince < 0) {
        waitsSince = Clock.now();
      }
      if (Clock.now() > nextLine) {
        nextLine = Clock.now() + 10;
        Record.line("replicas on no machine: " + missing + "; machines with room for one: " + empty);
      }
      if (waitsSince >= 0 && Clock.now() > waitsSince + LIMIT) {
        for (String id : ids) {
          site.poll(id);
        }
        site.recordLogs("scaling in", "leading, term", "rental");
        Record.line(
            missing + " replicas have waited for " + LIMIT + " s beside " + empty + " empty machines");
        return Case.BROKEN;
      }
    }
    return Case.HELD;
  }

  private static String submit(Site site, int number) {
    String id = String.format("job-%06d", number);
    site.submit(
        new Site.Job(
            id, "transcript-rush", "transcription", true, "urgent", REPLICAS, CPUS, MEMORY_GB,
            "img-01", 0.4, null, null, false, false, false, 0, 0, 0));
    return id;
  }

  private static int running(Site site, List<String> ids) {
    int running = 0;
    for (String id : ids) {
      running += site.running(id);
    }
    return running;
  }

  private static boolean awaitAll(Site site, List<String> ids, double seconds) {
    double end = Clock.now() + seconds;
    while (running(site, ids) < ids.size() * REPLICAS && Clock.now() < end) {
      Clock.sleep(0.1);
    }
    return running(site, ids) == ids.size() * REPLICAS;
  }
}
