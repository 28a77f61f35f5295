/** Reads and validates the platform's settings (TOML) and the operators' (HCL), once at startup. */
package org.eiderstair.config;
