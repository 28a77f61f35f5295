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
  private static final long DAY_MS = 86_400_000;

  private final OutputStream out;
  private boolean lineStarts = true;
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
    if (lineStarts) {
      // One write for the whole line: each is a system call, and lines of several threads must not
      // mix.
      byte[] time = time(System.currentTimeMillis()).getBytes(StandardCharsets.US_ASCII);
      byte[] line = new byte[time.length + length];
      System.arraycopy(time, 0, line, 0, time.length);
      System.arraycopy(bytes, from, line, time.length, length);
      out.write(line);
    } else {
      out.write(bytes, from, length);
    }
    lineStarts = bytes[from + length - 1] == '\n';
  }

  @Override
  public void flush() throws IOException {
    out.flush();
  }

  private String time(long millis) {
    if (Math.floorDiv(millis, DAY_MS) != day) {
      day = Math.floorDiv(millis, DAY_MS);
      date = LocalDate.ofEpochDay(day).toString();
    }
    int of = (int) Math.floorMod(millis, DAY_MS);
    StringBuilder text = new StringBuilder(26).append(date).append('T');
    two(text, of / 3_600_000).append(':');
    two(text, of / 60_000 % 60).append(':');
    two(text, of / 1000 % 60).append('.').append((char) ('0' + of / 100 % 10));
    return two(text, of % 100).append("Z ").toString();
  }

  private static StringBuilder two(StringBuilder text, int number) {
    return text.append((char) ('0' + number / 10)).append((char) ('0' + number % 10));
  }
}
