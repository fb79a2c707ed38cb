// Package wire carries the messages between entry hosts over HTTP and JSON.
package wire
