/** Tests of the messages, with generated inputs. */
package org.eiderstair.protocol;
