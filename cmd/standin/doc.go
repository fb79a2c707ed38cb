// Command standin runs a stand-in of an outside system for tests and trials.
package main
