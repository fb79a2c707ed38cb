// Package link is an HTTP/1.1 client with a connection pool for upstreams. It runs one exchange at
// a time on each connection and never retries, so that every error states whether a byte of the
// request may have been sent.
package link
