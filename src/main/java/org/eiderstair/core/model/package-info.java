/**
 * The entities of the scheduler: jobs, attempts and machines as the leader knows them, and the
 * values that describe them. This package contains no scheduling decisions.
 */
package org.eiderstair.core.model;
