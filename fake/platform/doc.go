// Package platform is a stand-in of the users' platform for tests: its store, its engines and its
// stores of cached prompt parts, with switches for the faults that tests need. It keeps its own
// codecs, so that a fault in the client is not mirrored here.
package platform
