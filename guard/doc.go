// Package guard bounds the memory and the connections that callers make a process hold. It follows each accepted
// connection from its head to its end, and refuses or closes those that have been stalled longest and hold most.
package guard
