// Package setup starts set-ups for trials and talks to their entry hosts.
package setup
