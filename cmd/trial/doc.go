// Command trial starts a set-up on loopback, sends load and reports what it measured.
package main
