package least

import "slices"

// Insert adds an item to the least ones so far, which are in ascending order, and keeps at most count of them.
func Insert[T any](kept []T, item T, count int, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(kept, item, compare)
	if at >= count {
		return kept
	}
	kept = slices.Insert(kept, at, item)
	return kept[:min(count, len(kept))]
}
