// Package kvsvc is a stand-in for the platform's key-value service, for tests and local set-ups.
package kvsvc
