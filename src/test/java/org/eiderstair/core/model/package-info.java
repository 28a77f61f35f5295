/** Tests of {@code org.eiderstair.core.model}. */
package org.eiderstair.core.model;
