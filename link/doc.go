// Package link keeps connections to upstreams and makes one exchange at a time on each, so that
// every failure says whether a byte of the request may have left.
package link
