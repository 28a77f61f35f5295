/** Tests of encoding and decoding messages, mostly with generated input. */
package org.eiderstair.protocol;
