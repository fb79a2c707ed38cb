// Command spokectl lets operators manage and inspect a set of entry hosts.
package main
