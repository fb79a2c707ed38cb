// Package peers exchanges load accounts between entry hosts by datagrams; an account that is
// lost is made good by the next one.
package peers
