import java.nio.file.Path;

/** Runs one case: {@code java -cp target/review-2 Case NAME RECORD}; TROUBLE=0 leaves out the disruption. */
final class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private Case() {}

  interface Scenario {
    /** Returns HELD, BROKEN or NOT_RUN. */
    int run(Site site, boolean trouble) throws Exception;
  }

  public static void main(String[] args) {
    int result = NOT_RUN;
    try {
      Record.open(Path.of(args[1]));
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      Scenario scenario =
          switch (args[0]) {
            case "lost-task" -> new LostTask();
            case "one-zone" -> new OneZoneStuck();
            case "lower-limits" -> new LowerLimits();
            case "full-list" -> new FullList();
            case "guarantee" -> new Guarantee();
            default -> throw new IllegalArgumentException(args[0]);
          };
      Record.line("case " + args[0] + ", disruption: " + trouble);
      try (Site site = new Site()) {
        result = scenario.run(site, trouble);
        if (!site.broken().isEmpty()) {
          Record.line("also broken: " + site.broken());
        }
      }
    } catch (Exception e) {
      e.printStackTrace();
      Record.line("could not run: " + e);
      result = NOT_RUN;
    }
    Record.line(
        "result: " + (result == HELD ? "held" : result == BROKEN ? "BROKEN" : "could not run"));
    System.out.println(
        args[0] + ": " + (result == HELD ? "held" : result == BROKEN ? "BROKEN" : "not run"));
    Runtime.getRuntime().halt(result);
  }
}
