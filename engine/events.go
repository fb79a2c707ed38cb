package engine

import (
	"bufio"
	"bytes"
	"io"
)

const (
	// firstEvent is the buffer of a stream until a longer event arrives; an event of
	// one token has about 200 bytes.
	firstEvent = 512
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// eventReader reads the data of server-sent events; other fields have no meaning here.
type eventReader struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	data  []byte
}

func newEventReader(body io.ReadCloser) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, firstEvent), maxEvent)
	return &eventReader{body: body, lines: lines}
}

// Next reads the next event that has data and reports false at the end of the body.
func (r *eventReader) Next() bool {
	r.data = r.data[:0]
	hasData := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
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

// Data returns the data of the last event; it is valid until the next one is read.
func (r *eventReader) Data() []byte { return r.data }

// Err returns the error that ended the body, nil if it ended by itself.
func (r *eventReader) Err() error { return r.lines.Err() }

// Close closes the body.
func (r *eventReader) Close() { _ = r.body.Close() }
