// Package admin serves the administration API of an entry host and is its client.
package admin
