/** A running controller: the thread that owns the core, and the parts round it. */
package org.eiderstair.node;
