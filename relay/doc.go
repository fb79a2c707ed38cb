// Package relay forwards TCP connections to a changeable target and imitates faults of a link.
package relay
