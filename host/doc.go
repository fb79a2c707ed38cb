// Package host composes the tasks of an entry host.
package host
