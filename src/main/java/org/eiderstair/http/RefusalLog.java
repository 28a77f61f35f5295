package org.eiderstair.http;

import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.eiderstair.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the messages that this node refuses or cannot read, with what is needed to find out why, and
 * counts them by reason. Lines are bounded in length and number; the counts are complete.
 *
 * <p>This class is safe for use by several threads.
 */
final class RefusalLog {
  /** What kind of message is refused. */
  enum MessageKind {
    /** A submission of a user. */
    SUBMISSION,
    /** A heartbeat of a worker. */
    HEARTBEAT,
    /** A request of another controller. */
    PEER_REQUEST,
    /** A request without a body that this node reads. */
    OTHER_REQUEST,
    /** A response to a request of this node. */
    RESPONSE
  }

  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final int MAX_LINES = 20;
  private static final long LINES_INTERVAL_MICROS = 10_000_000;
  private static final int EXCERPT_BYTES_BEFORE = 16;
  private static final int EXCERPT_BYTES_AFTER = 16;
  private static final int MAX_REASON_LENGTH = 120;
  private static final int MAX_COUNTED_REASONS = 64;
  private static final String OTHER_REASONS = "other";

  private final LongSupplier clock;
  private final Map<String, Integer> counts = new TreeMap<>();
  private int lines;
  private long intervalStartMicros;

  /**
   * Creates a log without refusals.
   *
   * @param clock a monotonic time in microseconds
   */
  RefusalLog(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Records a message that cannot be read.
   *
   * @param source what the message belongs to, such as an address and a path
   */
  void unreadable(MessageKind kind, String source, byte[] body, MalformedMessageException problem) {
    count(kind + " " + problem.field().orElse(problem.problem()));
    if (mayLog()) {
      LOG.info(
          "cannot read message: kind={} source={} field={} reason={} bytes={} offset={} excerpt={}",
          kind,
          printable(source),
          problem.field().orElse("-"),
          printable(problem.problem()),
          body.length,
          problem.offsetBytes().orElse(-1),
          excerpt(body, problem));
    }
  }

  /** Records a submission that is refused for good. */
  void refused(String job, int status, String reason, int bodyBytes) {
    count(MessageKind.SUBMISSION + " status " + status);
    if (mayLog()) {
      LOG.info(
          "refusing submission: job={} status={} reason={} bytes={}",
          job,
          status,
          printable(reason),
          bodyBytes);
    }
  }

  /** Returns the number of refusals by kind and reason since the previous call. */
  synchronized String takeCounts() {
    String taken = counts.toString();
    counts.clear();
    return taken;
  }

  private synchronized void count(String reason) {
    boolean counted = counts.containsKey(reason) || counts.size() < MAX_COUNTED_REASONS;
    counts.merge(counted ? reason : OTHER_REASONS, 1, Integer::sum);
  }

  private synchronized boolean mayLog() {
    long now = clock.getAsLong();
    if (now >= intervalStartMicros + LINES_INTERVAL_MICROS) {
      intervalStartMicros = now;
      lines = 0;
    }
    lines++;
    return lines <= MAX_LINES;
  }

  /** Returns the bytes round the place where the reading stopped, in hexadecimal. */
  private static String excerpt(byte[] body, MalformedMessageException problem) {
    if (problem.offsetBytes().isEmpty()) {
      return "-";
    }
    int offset = (int) Math.min(body.length, problem.offsetBytes().getAsLong());
    int from = Math.max(0, offset - EXCERPT_BYTES_BEFORE);
    int to = Math.min(body.length, offset + EXCERPT_BYTES_AFTER);
    return HexFormat.of().formatHex(body, from, to);
  }

  private static String printable(String text) {
    String bounded =
        text.length() <= MAX_REASON_LENGTH ? text : text.substring(0, MAX_REASON_LENGTH) + "...";
    return bounded.replaceAll("\\p{Cntrl}", "?");
  }
}
