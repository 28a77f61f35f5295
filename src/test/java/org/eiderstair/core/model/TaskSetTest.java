package org.eiderstair.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TaskSetTest {
  @Property(tries = 300, seed = "1")
  void everySetIsReadBackAsWritten(
      @ForAll @Size(max = 400) Set<@IntRange(max = 99_999) Integer> numbers) {
    BitSet set = new BitSet();
    numbers.forEach(set::set);
    assertEquals(set, TaskSet.read(TaskSet.write(set)));
  }

  /**
   * The completed tasks of the largest job must fit into the smallest allowed value, even if every
   * second task is completed and no ranges form.
   */
  @Example
  void encodedLengthIsBoundedForLargestJob() {
    BitSet set = new BitSet();
    for (int i = 0; i < 100_000; i += 2) {
      set.set(i);
    }
    String text = TaskSet.write(set);
    assertTrue(text.length() < 17_000, "length " + text.length());
    assertEquals(set, TaskSet.read(text));
  }
}
