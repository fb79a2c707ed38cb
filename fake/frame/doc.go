// Package frame sends the responses of stand-ins in another framing, or cut: with neither a length nor chunks, so that
// each ends with its connection, with a length, or with chunks. It also sends bytes without end.
package frame
