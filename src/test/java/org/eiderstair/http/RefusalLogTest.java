package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;

/** Tests the counts of refused messages. */
class RefusalLogTest {
  private final RefusalLog refusals = new RefusalLog(() -> 0);

  @Example
  void refusalsAreCountedByKindAndReason() {
    byte[] body = {(byte) 0x81, (byte) 0xa1, 'a', (byte) 0xc1};
    MalformedMessageException problem =
        assertThrows(MalformedMessageException.class, () -> MessagePackCodec.readMap(body));
    assertEquals(3, problem.offsetBytes().orElseThrow());
    refusals.unreadable(RefusalLog.MessageKind.HEARTBEAT, "/10.0.0.1:1", body, problem);
    refusals.refused("job-000001", 422, "unknown team x", 300);
    refusals.refused("job-000002", 422, "unknown team y", 300);
    assertEquals(
        "{HEARTBEAT " + problem.problem() + "=1, SUBMISSION status 422=2}", refusals.takeCounts());
    assertEquals("{}", refusals.takeCounts());
  }

  @Example
  void numberOfCountedReasonsIsBounded() {
    for (int i = 0; i < 1000; i++) {
      refusals.unreadable(
          RefusalLog.MessageKind.RESPONSE,
          "cloud/hosts",
          new byte[0],
          new MalformedMessageException("reason " + i));
    }
    String counts = refusals.takeCounts();
    assertTrue(counts.split(",").length <= 65, counts);
    assertTrue(counts.contains("other=936"), counts);
  }
}
