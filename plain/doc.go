// Package plain calls plain services: an HTTP client that makes one attempt, and an
// executor that retries repeatable calls and runs the others at most once.
package plain
