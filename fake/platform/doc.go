// Package platform is a stand-in for the users' platform in tests: its store, its engines and its
// stores of cached prompt parts, with switches for the faults that tests need. It has its own
// codecs, so that a bug in the client's codecs is not duplicated here.
package platform
