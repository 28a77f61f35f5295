package org.eiderstair.core.standby;

import java.util.Map;

/**
 * What may be on a machine, as the last term's standby recovers it.
 *
 * @param incarnation the worker's incarnation; 0 when it is not known
 * @param attempts the attempt that may run, by job and index of the task
 */
public record RecoveredMachine(long incarnation, Map<String, Map<Integer, Long>> attempts) {}
