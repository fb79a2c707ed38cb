// Package cache holds the pure decisions about prompt prefixes: block keys, placement on
// store hosts, import or recompute, export, link budgets and the index of an upstream's blocks.
package cache
