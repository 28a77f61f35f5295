/**
 * Sockets and HTTP/1.1, on one of Jetty's connectors with its parser: requests from outside become
 * events of the core, its requests and answers go out.
 */
package org.eiderstair.http;
