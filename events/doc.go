// Package events records, merges and formats the events on the timeline of the entry hosts.
package events
