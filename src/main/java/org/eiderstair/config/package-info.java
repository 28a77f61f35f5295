/**
 * Settings: the platform's file (TOML) and the operators' own (HCL), read and checked once at
 * start.
 */
package org.eiderstair.config;
