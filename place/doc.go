// Package place decides which upstream gets a call and when, which calls wait and which are refused.
// It does no I/O and reads no clock; hosts exchange their state in load reports.
package place
