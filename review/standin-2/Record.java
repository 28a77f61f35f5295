import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time of each. */
final class Record {
  private static PrintWriter out;

  private Record() {}

  static void open(Path file) throws Exception {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static synchronized void line(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f  %s", Clock.now(), text));
  }
}
