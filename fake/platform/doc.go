// Package platform is a stand-in for the users' platform in tests: its key-value store and its
// engines, with switches for the faults that tests need. It has its own codecs, so that a bug in
// the client's codecs is not duplicated here.
package platform
