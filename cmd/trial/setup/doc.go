// Package setup starts set-ups for trials and provides clients of their entry hosts.
package setup
