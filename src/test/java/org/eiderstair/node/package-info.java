/** Tests of a whole controller over real sockets, against stand-ins for state service and cloud. */
package org.eiderstair.node;
