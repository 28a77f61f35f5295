package org.eiderstair.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigInteger;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * The submission that was refused in the incident of December 2026, as far as its record shows it.
 * The values of some known fields and the name of the last one are assumed.
 */
public final class RecordedSubmission {
  /** The length in bytes that the record of the call names. */
  public static final int RECORDED_LENGTH = 18_374;

  private static final int NOTE_REPEATS = 1500;
  private static final BigInteger LARGEST_INTEGER =
      BigInteger.ONE.shiftLeft(64).subtract(BigInteger.ONE);

  private RecordedSubmission() {}

  /** Returns the body for a job of that id and team. */
  public static byte[] body(String id, String team) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      body.writeBytes(new byte[] {(byte) 0xde, 0, 22});
      writeLabels(packer);
      writeKnownFields(packer, id, team);
      packer.packString("x_note").packString("lorem ipsum ".repeat(NOTE_REPEATS));
      packer.flush();
      body.writeBytes(packer.toByteArray());
      return body.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  private static void writeLabels(MessageBufferPacker packer) throws IOException {
    packer.packString("x_labels").packMapHeader(7);
    packer.packString("größe").packString("日本語 ✓");
    packer.packString("n").packBigInteger(LARGEST_INTEGER);
    packer.packString("m").packInt(-7);
    packer.packString("f").packDouble(1.25);
    packer.packString("none").packNil();
    packer.packString("l").packArrayHeader(3).packArrayHeader(0).packMapHeader(0);
    packer.packBoolean(true);
    packer.packString("deep");
    packer.packArrayHeader(1).packArrayHeader(1).packArrayHeader(1).packArrayHeader(1);
    packer.packArrayHeader(0);
  }

  private static void writeKnownFields(MessageBufferPacker packer, String id, String team)
      throws IOException {
    packer.packString("Accelerators").packDouble(0);
    packer.packString("Bundle").packString("img-100");
    packer.packString("CairnEveryS").packDouble(0);
    packer.packString("CairnS").packDouble(0);
    packer.packString("Cores").packDouble(2);
    packer.packString("Crew").packString(team);
    packer.packString("Driftwood").packBoolean(true);
    packer.packString("DueS").packNil();
    packer.packString("Fjord").packNil();
    packer.packString("GuessS").packDouble(40);
    packer.packString("Hulls").packNil();
    packer.packString("Id").packString(id);
    packer.packString("ImageGb").packDouble(0.7);
    packer.packString("JobkindGroup").packString("exam-marking");
    packer.packString("MemoryGb").packDouble(2.7);
    packer.packString("OneZone").packBoolean(false);
    packer.packString("Pieces").packInt(16);
    packer.packString("Scatter").packBoolean(false);
    packer.packString("Shape").packString("sweep");
    packer.packString("Urgency").packString("urgent");
  }
}
