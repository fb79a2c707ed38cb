// Package kvsvc is a stand-in of the platform's key-value service for tests and loopback set-ups.
package kvsvc
