package org.eiderstair.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;

/**
 * Puts the time of day (UTC) before each line. The logging library's own way loads the JVM's
 * calendars and locales, which cost a start 60 ms of processor time.
 */
final class LogStream extends OutputStream {
  private static final int TIMESTAMP_LENGTH = 26;
  private static final int SECOND_MS = 1_000;
  private static final int MINUTE_MS = 60 * SECOND_MS;
  private static final int HOUR_MS = 60 * MINUTE_MS;
  private static final long DAY_MS = 24L * HOUR_MS;

  private final OutputStream out;
  private boolean atLineStart = true;
  private long day = -1;
  private String date;

  LogStream(OutputStream out) {
    this.out = out;
  }

  @Override
  public void write(int b) throws IOException {
    write(new byte[] {(byte) b}, 0, 1);
  }

  @Override
  public synchronized void write(byte[] bytes, int from, int length) throws IOException {
    if (length == 0) {
      return;
    }
    if (atLineStart) {
      // One write for the whole line: each is a system call, and lines of several threads must not
      // mix.
      byte[] timestamp = timestamp(System.currentTimeMillis()).getBytes(StandardCharsets.US_ASCII);
      byte[] line = new byte[timestamp.length + length];
      System.arraycopy(timestamp, 0, line, 0, timestamp.length);
      System.arraycopy(bytes, from, line, timestamp.length, length);
      out.write(line);
    } else {
      out.write(bytes, from, length);
    }
    atLineStart = bytes[from + length - 1] == '\n';
  }

  @Override
  public void flush() throws IOException {
    out.flush();
  }

  private String timestamp(long millis) {
    if (Math.floorDiv(millis, DAY_MS) != day) {
      day = Math.floorDiv(millis, DAY_MS);
      date = LocalDate.ofEpochDay(day).toString();
    }
    int ofDay = (int) Math.floorMod(millis, DAY_MS);
    StringBuilder text = new StringBuilder(TIMESTAMP_LENGTH).append(date).append('T');
    appendTwoDigits(text, ofDay / HOUR_MS).append(':');
    appendTwoDigits(text, ofDay / MINUTE_MS % 60).append(':');
    appendTwoDigits(text, ofDay / SECOND_MS % 60).append('.');
    text.append((char) ('0' + ofDay / 100 % 10));
    return appendTwoDigits(text, ofDay % 100).append("Z ").toString();
  }

  private static StringBuilder appendTwoDigits(StringBuilder text, int number) {
    return text.append((char) ('0' + number / 10)).append((char) ('0' + number % 10));
  }
}
