// Package soak runs entry hosts as separate processes against a stand-in of the users' platform,
// injects random faults from outside the processes, and checks the answers that callers receive
// and the requests that engines run.
package soak
