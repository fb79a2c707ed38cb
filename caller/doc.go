// Package caller follows the connections of callers, to report on what evidence a caller counts as gone.
package caller
