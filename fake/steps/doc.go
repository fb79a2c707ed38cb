// Package steps is a stand-in for engines that work in steps: each generates one token for every running call and
// prefills a chunk of one prompt. It does no I/O and has no clock.
package steps
