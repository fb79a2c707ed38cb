// Package caller follows the connections of callers, to tell a caller that has left from one that has only
// closed its sending side and waits for its answer.
package caller
