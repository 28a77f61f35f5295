/** Tests of the core's parts, with made-up machines and replies. */
package org.eiderstair.core;
