// Command standin runs a stand-in for an external system in tests and trials.
package main
