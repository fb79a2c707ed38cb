// Package admin implements the administration API of an entry host, server and client.
package admin
