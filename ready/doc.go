// Package ready defines the line that a program writes to its standard output when it is ready to
// serve, for the process that started it.
package ready
