/** What the core needs to know of its deployment. */
package org.eiderstair.core.settings;
