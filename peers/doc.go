// Package peers exchanges load reports, in which each entry host reports its own work, between entry
// hosts in UDP datagrams. Lost datagrams are not resent, since a later report replaces them.
package peers
