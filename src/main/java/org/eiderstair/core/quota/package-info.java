/**
 * Tracks the resource usage of teams against their limits, guarantees (fair shares) and
 * reservations. The entry point is {@link org.eiderstair.core.quota.TeamQuotas}.
 */
package org.eiderstair.core.quota;
