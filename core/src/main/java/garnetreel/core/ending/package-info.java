/** What a server owes its clients when it ends their connections; shared by the NBD, rsync and HTTP servers. */
package garnetreel.core.ending;
