// Package least keeps the least items of a sequence without sorting all of it.
package least
