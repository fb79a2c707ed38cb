// Package load implements a client that sends requests to entry hosts and measures and verifies the answers.
package load
