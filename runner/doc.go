// Package runner carries one request from the caller's entry host to its final
// answer: a pure state machine decides on routes, attempts, retries and
// resumes, and an executor runs the machine over the interfaces of package
// spoke.
package runner
