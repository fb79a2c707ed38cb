// Package wire implements the internal API between entry hosts with JSON over HTTP.
package wire
