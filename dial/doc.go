// Package dial makes TCP connections that detect an unresponsive peer, and distinguishes errors of
// connections that were never established from all others.
package dial
