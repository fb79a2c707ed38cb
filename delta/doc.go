// Package delta encodes a content as its difference to an earlier one, compressed, so that a change costs about as
// many bytes as differ.
package delta
