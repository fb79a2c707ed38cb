// Package plain calls plain services: an HTTP client for one attempt, and an
// executor that repeats repeatable calls and runs the others at most once.
package plain
