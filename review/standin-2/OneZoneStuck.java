/**
 * Not a case, run by hand: a job that must stay in one zone loses its machine, and then waits in a zone
 * without room for it.
 */
final class OneZoneStuck implements Case.Scenario {
  private static final String FILLING = "job-000001";
  private static final String BESIDE = "job-000002";
  private static final String BOUND = "job-000003";
  private static final double LIMIT = 90;
  private static final double END = 114;

  @Override
  public int run(Site site, boolean trouble) throws Exception {
    site.open(3);
    String first = site.zones.get(0);
    String second = site.zones.get(1);
    String third = site.zones.get(2);
    for (int i = 0; i < 3; i++) {
      site.cloud.addRunning("hekla-16", first, false);
    }
    final Worker losing = site.cloud.addRunning("hekla-16", second, false);
    final Worker withRoom = site.cloud.addRunning("hekla-16", third, false);
    site.startAllControllers();
    if (!site.awaitReady(3, 20)) {
      return Case.NOT_RUN;
    }
    Site.Job filling =
        new Site.Job(
            FILLING, "transcript-rush", "transcription", true, "urgent", 3, 11, 20, "img-01", 0.4,
            null, first, false, false, false, 0, 0, 0);
    Site.Job beside =
        new Site.Job(
            BESIDE, "transcript-rush", "transcription", true, "urgent", 1, 2, 6, "img-01", 0.4,
            null, third, false, false, false, 0, 0, 0);
    Site.Job bound =
        new Site.Job(
            BOUND, "word-alignment", "audio-lab", false, "normal", 2, 7, 15, "img-02", 0.4,
            null, null, true, false, false, 400, 0, 0);
    if (!site.submit(filling)
        || !site.submit(beside)
        || !site.awaitRunning(FILLING, 3, 20)
        || !site.awaitRunning(BESIDE, 1, 20)
        || !site.submit(bound)
        || !site.awaitRunning(BOUND, 2, 20)
        || !losing.id().equals(site.machineOf(BOUND + "/0"))) {
      Record.line("the jobs did not start as planned");
      return Case.NOT_RUN;
    }
    Clock.sleep(1);
    if (trouble) {
      site.cloud.die(losing.id());
    }
    double since = -1;
    double nextPoll = Clock.now() + 10;
    while (Clock.now() < END) {
      Clock.sleep(0.5);
      boolean gone = !trouble || site.cloud.isDeleted(losing.id());
      boolean room =
          withRoom.freeCpus() >= 2 * bound.cpus() && withRoom.freeMemoryGb() >= 2 * bound.memoryGb();
      boolean waits = gone && site.running(BOUND) == 0 && room && !withRoom.isEnded();
      if (!waits) {
        since = -1;
      } else if (since < 0) {
        since = Clock.now();
        Record.line(
            "the controllers have deleted " + losing.id() + "; no task of " + BOUND + " is on a "
                + "machine, and " + withRoom.id() + " has " + withRoom.freeCpus() + " CPUs and "
                + withRoom.freeMemoryGb() + " GB free for its two tasks");
      }
      if (Clock.now() > nextPoll) {
        nextPoll = Clock.now() + 10;
        site.poll(BOUND);
        Record.line(
            "tasks of " + BOUND + " on machines: " + site.running(BOUND) + "; " + withRoom.id()
                + " has " + withRoom.freeCpus() + " CPUs free");
      }
      if (since >= 0 && Clock.now() > since + LIMIT) {
        site.recordLogs("scaling in", "leading, term", "rental");
        Record.line(BOUND + " has waited for " + LIMIT + " s beside a machine with room");
        return Case.BROKEN;
      }
    }
    Record.line("at the end: tasks of " + BOUND + " on machines: " + site.running(BOUND));
    return Case.HELD;
  }
}
