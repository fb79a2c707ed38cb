// Package evac tells which data centres are evacuated, since when, and which hosts have applied that. Its decisions depend on
// the directory's changes, the hosts' revisions and the time alone.
package evac
