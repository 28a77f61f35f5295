package org.eiderstair.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;

/**
 * Prefixes lines with a UTC timestamp; only a line that begins a write is prefixed. The logging
 * library's own timestamps load the JVM's calendars and locales, which takes 60 ms of processor
 * time at startup.
 */
final class LogStream extends OutputStream {
  private static final int TIMESTAMP_CAPACITY = 26;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int MILLIS_PER_MINUTE = 60 * MILLIS_PER_SECOND;
  private static final int MILLIS_PER_HOUR = 60 * MILLIS_PER_MINUTE;
  private static final long MILLIS_PER_DAY = 24L * MILLIS_PER_HOUR;

  private final OutputStream out;
  private boolean atLineStart = true;
  private long epochDay = -1;
  private String date;

  LogStream(OutputStream out) {
    this.out = out;
  }

  @Override
  public void write(int b) throws IOException {
    write(new byte[] {(byte) b}, 0, 1);
  }

  @Override
  public synchronized void write(byte[] bytes, int offset, int length) throws IOException {
    if (length == 0) {
      return;
    }
    if (atLineStart) {
      // Timestamp and text go out in one write: each write is a system call, and lines of several
      // threads must not interleave.
      byte[] timestamp = timestamp(System.currentTimeMillis()).getBytes(StandardCharsets.US_ASCII);
      byte[] line = new byte[timestamp.length + length];
      System.arraycopy(timestamp, 0, line, 0, timestamp.length);
      System.arraycopy(bytes, offset, line, timestamp.length, length);
      out.write(line);
    } else {
      out.write(bytes, offset, length);
    }
    atLineStart = bytes[offset + length - 1] == '\n';
  }

  @Override
  public void flush() throws IOException {
    out.flush();
  }

  private String timestamp(long millis) {
    if (Math.floorDiv(millis, MILLIS_PER_DAY) != epochDay) {
      epochDay = Math.floorDiv(millis, MILLIS_PER_DAY);
      date = LocalDate.ofEpochDay(epochDay).toString();
    }
    int millisOfDay = (int) Math.floorMod(millis, MILLIS_PER_DAY);
    StringBuilder text = new StringBuilder(TIMESTAMP_CAPACITY).append(date).append('T');
    appendTwoDigits(text, millisOfDay / MILLIS_PER_HOUR).append(':');
    appendTwoDigits(text, millisOfDay / MILLIS_PER_MINUTE % 60).append(':');
    appendTwoDigits(text, millisOfDay / MILLIS_PER_SECOND % 60).append('.');
    text.append((char) ('0' + millisOfDay / 100 % 10));
    return appendTwoDigits(text, millisOfDay % 100).append("Z ").toString();
  }

  private static StringBuilder appendTwoDigits(StringBuilder text, int number) {
    return text.append((char) ('0' + number / 10)).append((char) ('0' + number % 10));
  }
}
