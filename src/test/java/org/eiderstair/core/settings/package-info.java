/** Settings for tests. */
package org.eiderstair.core.settings;
