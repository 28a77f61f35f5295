/**
 * HTTP/1.1 over Jetty's connector and parser. Inbound requests become events of the core; the
 * core's answers and its own requests are sent.
 */
package org.eiderstair.http;
