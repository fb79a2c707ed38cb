package engine

import (
	"bufio"
	"bytes"
	"io"
)

const (
	// initialEventBuffer is the initial buffer size of a stream in bytes; a longer event enlarges
	// the buffer. An event of one token has about 200 bytes.
	initialEventBuffer = 512
	// maxEventSize bounds each line of an event, in bytes.
	maxEventSize = 1 << 20
)

// eventReader reads the data fields of server-sent events; other fields are ignored.
type eventReader struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	data    []byte
}

func newEventReader(body io.ReadCloser) *eventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialEventBuffer), maxEventSize)
	return &eventReader{body: body, scanner: scanner}
}

// Next reads the next event that has data. It returns false at the end of the body or after a
// read error.
func (r *eventReader) Next() bool {
	r.data = r.data[:0]
	hasData := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if hasData {
				return true
			}
			continue
		}
		value, isData := bytes.CutPrefix(line, []byte("data:"))
		if !isData {
			continue
		}
		if hasData {
			r.data = append(r.data, '\n')
		}
		hasData = true
		r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return false
}

// Data returns the data of the last event; it is valid until the next call of Next.
func (r *eventReader) Data() []byte { return r.data }

// Err returns the read error that ended the body, or nil if the body ended normally.
func (r *eventReader) Err() error { return r.scanner.Err() }

// Close closes the body.
func (r *eventReader) Close() { _ = r.body.Close() }
