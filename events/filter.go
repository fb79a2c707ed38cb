package events

import (
	"cmp"
	"slices"
	"strings"

	"magnoliaspoke.example/spoke"
)

// Filter selects events; fields with their zero value select all.
type Filter = spoke.EventFilter

// Merge returns the events of several processes in causal order; an event that several
// lists hold is returned once.
func Merge(lists ...[]spoke.Event) []spoke.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compare)
	return slices.Compact(merged)
}

// compare orders by clock reading; readings of one host never repeat, so host and reading
// are a total order.
func compare(a, b spoke.Event) int {
	if a.At.Before(b.At) {
		return -1
	}
	if b.At.Before(a.At) {
		return 1
	}
	return cmp.Or(strings.Compare(string(a.Host), string(b.Host)), strings.Compare(string(a.Kind), string(b.Kind)))
}
