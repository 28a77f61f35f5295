/**
 * Quotas of teams: limits, guarantees (fair shares) and reservations, and what each team uses. The
 * type to enter by is {@link org.eiderstair.core.quota.TeamQuotas}.
 */
package org.eiderstair.core.quota;
