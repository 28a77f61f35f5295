/** The command line: runs a controller, checks settings, and asks a running one as a user would. */
package org.eiderstair.cli;
