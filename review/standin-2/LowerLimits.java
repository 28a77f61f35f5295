import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The state service lowers its limits as announced; finished jobs are never called done any more. */
final class LowerLimits implements Case.Scenario {
  private static final int JOBS = 12;
  private static final double RUN = 6;
  private static final double EXPECTED_WITHIN = 3;
  private static final double OBSERVED = 60;

  @Override
  public int run(Site site, boolean trouble) throws Exception {
    site.moreSettings =
        "\n[settings.state.next]\nrps = 200.0\nwrite_rps = 56.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    site.open(3);
    int[] byZone = {4, 2, 3};
    for (int zone = 0; zone < byZone.length; zone++) {
      for (int i = 0; i < byZone[zone]; i++) {
        site.cloud.addRunning("hekla-16", site.zones.get(zone), false);
      }
    }
    site.startAllControllers();
    if (!site.awaitReady(3, 20) || !runJobs(site, 1) || awaitDone(site, 1, 30) < JOBS) {
      Record.line("the first jobs were not done");
      return Case.NOT_RUN;
    }
    if (trouble) {
      site.state.setLimits(2, 4, 56);
      Record.line("state service: limits are now 2 KiB a value, 4 changes a transaction, 56 a second");
    }
    if (!runJobs(site, 1 + JOBS)) {
      return Case.NOT_RUN;
    }
    double end = Clock.now() + 30;
    while (Clock.now() < end && !allTasksDone(site, 1 + JOBS)) {
      Clock.sleep(0.1);
    }
    if (!allTasksDone(site, 1 + JOBS)) {
      Record.line("not all tasks were completed within 30 s");
      return trouble ? Case.BROKEN : Case.NOT_RUN;
    }
    Record.line("all tasks of the second jobs are completed");
    int done = awaitDone(site, 1 + JOBS, EXPECTED_WITHIN + OBSERVED);
    Record.line("jobs called done: " + done + " of " + JOBS);
    Record.line("transactions refused with 400 as too large: " + site.state.refusedAsTooLarge());
    site.recordLogs("leading, term");
    return done == JOBS ? Case.HELD : Case.BROKEN;
  }

  private static String id(int number) {
    return String.format("job-%06d", number);
  }

  private static boolean runJobs(Site site, int first) {
    for (int i = 0; i < JOBS; i++) {
      Site.Job job =
          new Site.Job(
              id(first + i), "transcript-rush", "transcription", false, "urgent", 2, 2, 6.6,
              "img-01", 0.4, null, null, false, false, false, RUN, 0, 0);
      if (!site.submit(job)) {
        return false;
      }
    }
    return true;
  }

  private static boolean allTasksDone(Site site, int first) {
    for (int i = 0; i < JOBS; i++) {
      if (!site.isTaskDone(id(first + i) + "/0") || !site.isTaskDone(id(first + i) + "/1")) {
        return false;
      }
    }
    return true;
  }

  /** Polls until all jobs are called done or the time is over; returns how many were. */
  private static int awaitDone(Site site, int first, double seconds) {
    double end = Clock.now() + seconds;
    List<String> open = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      open.add(id(first + i));
    }
    while (!open.isEmpty() && Clock.now() < end) {
      for (String id : List.copyOf(open)) {
        Map<String, Object> answer = site.poll(id);
        if (answer != null && "done".equals(answer.get("Tide"))) {
          open.remove(id);
        }
      }
      Clock.sleep(3);
    }
    return JOBS - open.size();
  }
}
