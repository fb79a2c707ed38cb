// Package reach decides which upstreams a host reaches directly: which of its ways are lost, whether it is cut off from
// all of them, and through which other hosts it connects then.
package reach
