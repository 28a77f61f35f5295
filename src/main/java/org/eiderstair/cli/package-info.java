/**
 * The command line: runs a controller, checks settings, and sends user requests to a controller.
 */
package org.eiderstair.cli;
