/** Tests of the core as a whole, with simulated machines and replies. */
package org.eiderstair.core;
