// Package lease acquires and renews a lease of the key-value service, and reports whether it is
// valid for long enough to act on.
package lease
