/** Tests of HTTP connections, most of them over real sockets. */
package org.eiderstair.http;
