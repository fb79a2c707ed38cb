// Package runner runs language requests at the entry host of their caller. A
// pure state machine decides on routes, attempts, retries and resumes for each
// request; an executor runs the machine over the interfaces of package spoke.
package runner
