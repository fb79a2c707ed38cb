// Package drain observes the connections of an HTTP server, so that it stops without dropping requests.
package drain
