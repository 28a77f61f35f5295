/** Tests of the replication to the standby, with a search of small cases. */
package org.eiderstair.core.standby;
