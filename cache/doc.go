// Package cache decides on the reuse of prompt prefixes: block keys, placement on store hosts,
// import or recompute, export, the scheduling of links and the index of an upstream's blocks.
package cache
