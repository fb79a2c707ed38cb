// Package dial makes TCP connections that detect an unresponsive peer, distinguishes errors of
// connections that were never established from all others, and resets from ends.
package dial
