/**
 * Tests that this version reads the recorded bytes of an earlier version, and writes the same bytes
 * for the same values.
 */
package org.eiderstair.compatibility;
