/** A fake node list: the service that gateways discover storage nodes through, with injectable lag and faults. */
package garnetreel.testbed.list;
