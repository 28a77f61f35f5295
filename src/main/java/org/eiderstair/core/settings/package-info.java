/** The settings of the core. */
package org.eiderstair.core.settings;
