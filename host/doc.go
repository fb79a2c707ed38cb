// Package host assembles the tasks and servers of an entry host.
package host
