package org.eiderstair.core.standby;

import java.util.Map;

/**
 * The attempts that may be on a machine, recovered from the state replicated in the last term.
 *
 * @param incarnation the worker's incarnation; 0 when it is not known
 * @param attempts the number of the attempt that may run, by job and by the task's index
 */
public record RecoveredMachine(long incarnation, Map<String, Map<Integer, Long>> attempts) {}
