/** Tests of the connections, over real sockets. */
package org.eiderstair.http;
