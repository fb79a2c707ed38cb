// Package ports finds ports for programs that tests start.
package ports
