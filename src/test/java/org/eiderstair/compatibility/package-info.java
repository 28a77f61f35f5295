/** Tests that bytes written by an earlier version are written and read alike by this one. */
package org.eiderstair.compatibility;
