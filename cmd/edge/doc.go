// Command edge runs an entry host that relays calls on the users' platform.
package main
