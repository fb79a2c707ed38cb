// Command spokectl lets operators drive and inspect a set of entry hosts.
package main
