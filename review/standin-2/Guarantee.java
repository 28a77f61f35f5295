/**
 * Not a case, run by hand: a team keeps what it has borrowed for tasks of a higher priority, and a job
 * that another team's guarantee covers never runs.
 */
final class Guarantee implements Case.Scenario {
  private static final String BORROWER = "job-000001";
  private static final String COVERED = "job-000002";
  private static final double END = 116;

  @Override
  public int run(Site site, boolean trouble) throws Exception {
    site.teamLimits.put("transcription", new double[] {16, 0});
    site.teamLimits.put("audio-lab", new double[] {16, 0});
    site.open(3);
    for (String zone : site.zones) {
      site.cloud.addRunning("hekla-16", zone, false);
    }
    site.startAllControllers();
    if (!site.awaitReady(3, 20)) {
      return Case.NOT_RUN;
    }
    Site.Job borrower =
        new Site.Job(
            BORROWER, "transcript-rush", "transcription", true, "production", 6, 8, 20, "img-01",
            0.4, null, null, false, false, false, 0, 0, 0);
    Site.Job covered =
        new Site.Job(
            COVERED, "word-alignment", "audio-lab", false, "normal", 1, 4, 10, "img-02", 0.4, null,
            null, false, false, false, 20, 0, 0);
    if (!site.submit(borrower) || !site.awaitRunning(BORROWER, 6, 20)) {
      return Case.NOT_RUN;
    }
    site.cloud.setHasCapacity(!trouble);
    if (!site.submit(covered)) {
      return Case.NOT_RUN;
    }
    while (Clock.now() < END) {
      Clock.sleep(1);
      if (site.running(COVERED) > 0) {
        return Case.HELD;
      }
    }
    site.recordLogs("preempt", "leading, term", "rental");
    return Case.BROKEN;
  }
}
