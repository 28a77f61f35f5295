/**
 * The entities of the scheduler: jobs, attempts and machines as the leader knows them, and the
 * values that describe them. Nothing here decides anything.
 */
package org.eiderstair.core.model;
