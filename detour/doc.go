// Package detour connects a host to an upstream through another host. A detour is a byte tunnel: the other host looks the
// upstream up in its own list, connects to it directly, and relays bytes in small frames, so that the end of the
// upstream's connection, its reset and the end of the relaying host stay distinguishable.
package detour
