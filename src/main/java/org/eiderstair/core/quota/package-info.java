/** Limits, guarantees and reserves of teams. */
package org.eiderstair.core.quota;
