// Package peers exchanges load accounts, in which each entry host reports its own work, between
// entry hosts in UDP datagrams. Lost datagrams are not resent, since a later account replaces them.
package peers
