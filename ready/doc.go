// Package ready defines the line by which a program tells its starter that it serves.
package ready
