/**
 * What goes into the core and comes out of it: events and replies in, effects, requests and answers
 * out.
 */
package org.eiderstair.core.message;
