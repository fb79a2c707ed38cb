// Command trial starts a set-up on loopback, sends load and reports measurements.
package main
