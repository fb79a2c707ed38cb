// Package frame sends the responses of stand-ins with neither a length nor chunks, so that each
// ends with its connection.
package frame
