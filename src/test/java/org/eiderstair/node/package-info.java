/** Tests of a whole controller over real sockets, with fakes of the state service and the cloud. */
package org.eiderstair.node;
