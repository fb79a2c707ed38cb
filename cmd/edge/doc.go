// Command edge runs an entry host that relays calls to the upstreams of a platform.
package main
