/** A machine stops; the task that ran on it is never started again, and no machine is rented for it. */
final class LostTask implements Case.Scenario {
  private static final String SERVICE = "job-000001";
  private static final String ARRAY = "job-000002";
  private static final int REPLICAS = 8;
  private static final double CPUS = 9;
  private static final double RUN = 30;
  private static final double LIMIT_SINCE_STOP = 90;
  private static final double LIMIT_SINCE_KNOWN = 75;
  private static final double END = 116;

  @Override
  public int run(Site site, boolean trouble) throws Exception {
    site.open(3);
    // As in the site file: nine machines are up at the start, 4, 2 and 3 by zone.
    int[] byZone = {4, 2, 3};
    for (int zone = 0; zone < byZone.length; zone++) {
      for (int i = 0; i < byZone[zone]; i++) {
        site.cloud.addRunning("hekla-16", site.zones.get(zone), false);
      }
    }
    site.startAllControllers();
    if (!site.awaitReady(3, 20)) {
      return Case.NOT_RUN;
    }
    Site.Job service =
        new Site.Job(
            SERVICE, "transcript-rush", "transcription", true, "urgent", REPLICAS, CPUS, 20,
            "img-01", 0.4, null, null, false, false, false, 0, 0, 0);
    Site.Job array =
        new Site.Job(
            ARRAY, "word-alignment", "audio-lab", false, "normal", 1, CPUS, 20, "img-02", 0.4, null,
            null, false, false, false, RUN, 0, 0);
    if (!site.submit(service)
        || !site.submit(array)
        || !site.awaitRunning(SERVICE, REPLICAS, 20)
        || !site.awaitRunning(ARRAY, 1, 20)) {
      Record.line("the jobs did not start as planned");
      return Case.NOT_RUN;
    }
    Clock.sleep(1);
    String machine = site.machineOf(ARRAY + "/0");
    int rentalsBefore = site.cloud.rentalRequests();
    if (trouble) {
      site.cloud.die(machine);
    }
    double stoppedAt = Clock.now();
    double knownAt = -1;
    double nextPoll = Clock.now();
    while (Clock.now() < END) {
      Clock.sleep(0.5);
      if (site.running(ARRAY) > 0 && knownAt >= 0) {
        Record.line(ARRAY + "/0 runs again");
        return Case.HELD;
      }
      if (trouble && knownAt < 0 && site.cloud.isDeleted(machine)) {
        knownAt = Clock.now();
        Record.line("the controllers have deleted " + machine + "; " + ARRAY + "/0 is on no machine");
      }
      if (knownAt >= 0
          && Clock.now() > stoppedAt + LIMIT_SINCE_STOP
          && Clock.now() > knownAt + LIMIT_SINCE_KNOWN) {
        break;
      }
      if (Clock.now() > nextPoll) {
        nextPoll = Clock.now() + 5;
        Object answer = site.poll(ARRAY);
        if (answer != null && String.valueOf(answer).contains("Tide=done")) {
          return Case.HELD;
        }
      }
    }
    site.recordLogs("scaling in", "leading, term", "rental");
    int rentals = site.cloud.rentalRequests() - rentalsBefore;
    double sinceStop = Clock.now() - stoppedAt;
    double sinceKnown = knownAt < 0 ? 0 : Clock.now() - knownAt;
    Record.line(
        ARRAY + " was not called done; its task has been on no machine for " + Math.round(sinceStop)
            + " s, for " + Math.round(sinceKnown) + " s since the controllers knew; rentals asked for"
            + " since the machine stopped: " + rentals);
    boolean waitedTooLong = sinceStop >= LIMIT_SINCE_STOP && sinceKnown >= LIMIT_SINCE_KNOWN;
    return !trouble || (waitedTooLong && rentals == 0) ? Case.BROKEN : Case.HELD;
  }
}
