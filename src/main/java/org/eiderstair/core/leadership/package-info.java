/**
 * Who leads, by a leased key in the state service, and until when a leader may launch and answer.
 */
package org.eiderstair.core.leadership;
