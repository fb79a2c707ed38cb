// Command edge runs an entry host that relays calls to the upstreams of the users' platform.
package main
