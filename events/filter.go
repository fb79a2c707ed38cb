package events

import (
	"cmp"
	"slices"
	"strings"

	"magnoliaspoke.example/spoke"
)

// Filter selects events; fields with their zero value select all.
type Filter = spoke.EventFilter

// Merge returns the events of several processes in causal order, without duplicates of an
// event that occurs in several lists.
func Merge(lists ...[]spoke.Event) []spoke.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compare)
	return slices.Compact(merged)
}

// compare orders events by clock reading, host and kind. The readings of one host are unique,
// so clock reading and host already define a total order.
func compare(a, b spoke.Event) int {
	if a.At.Before(b.At) {
		return -1
	}
	if b.At.Before(a.At) {
		return 1
	}
	return cmp.Or(strings.Compare(string(a.Host), string(b.Host)), strings.Compare(string(a.Kind), string(b.Kind)))
}
