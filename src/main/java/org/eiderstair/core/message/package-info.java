/** The inputs and outputs of the core: events and replies in; effects, requests and answers out. */
package org.eiderstair.core.message;
