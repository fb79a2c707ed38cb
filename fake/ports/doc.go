// Package ports finds free ports for programs that tests start.
package ports
