// Package crowd has callers that do not respect limits, for tests of an entry host that runs as a process.
package crowd
