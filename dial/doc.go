// Package dial tells errors of connections that were never made from all others.
package dial
