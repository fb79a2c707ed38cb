// Package soak runs entry hosts as separate processes before a stand-in of the users' platform,
// injects random faults from outside them, and checks what callers and engines see.
package soak
