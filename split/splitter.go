package split

import "bytes"

const (
	// Open states that the bytes behind the last event may become one, or that there are none.
	Open Tail = ""
	// NoEvent states that they cannot become one.
	NoEvent Tail = "no-event"
	// Head states that they begin with the status line of another response.
	Head Tail = "response"
	// TooLarge states that the next event exceeds the size limit.
	TooLarge Tail = "large-event"

	minSpace = 512
	version  = "HTTP/1."
)

// Delimiter ends each event.
var Delimiter = []byte("\n\n")

type (
	// Tail is what the bytes behind the last event are.
	Tail string

	// Splitter splits a stream into events. What it returns in all depends on the bytes alone, not on the reads that
	// bring them.
	Splitter struct {
		buffer []byte
		// begin is the beginning of the bytes behind the last event.
		begin int
		// searched is the end of the bytes that hold no delimiter.
		searched int
		maxEvent int
		tail     Tail
	}
)

// New returns a splitter of a stream whose events have at most maxEvent bytes.
func New(maxEvent int) *Splitter { return &Splitter{maxEvent: maxEvent} }

// Space returns room for the next bytes. The events that were returned before are no longer valid.
func (s *Splitter) Space() []byte {
	if s.begin > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.begin:])]
		s.searched -= s.begin
		s.begin = 0
	}
	if cap(s.buffer)-len(s.buffer) < minSpace {
		s.buffer = append(make([]byte, 0, 2*(cap(s.buffer)+minSpace)), s.buffer...)
	}
	return s.buffer[len(s.buffer):cap(s.buffer)]
}

// Add takes the first n bytes of the space and returns the events that they complete, up to the first bytes that are none.
func (s *Splitter) Add(n int) ([]byte, Tail) {
	s.buffer = s.buffer[:len(s.buffer)+n]
	first := s.begin
	for s.tail == Open && s.addEvent() {
		continue
	}
	return s.buffer[first:s.begin], s.tail
}

// Rest returns the bytes behind the last event, as far as they were read.
func (s *Splitter) Rest() []byte { return s.buffer[s.begin:] }

// addEvent moves behind the next event and reports whether it is complete; otherwise it judges the bytes.
func (s *Splitter) addEvent() bool {
	event := s.Rest()
	from := max(s.searched-s.begin-len(Delimiter), 0)
	end := bytes.Index(event[from:], Delimiter)
	isComplete := end >= 0
	if isComplete {
		event = event[:from+end+len(Delimiter)]
	}
	s.tail = s.judge(event, from)
	s.searched = s.begin + len(event)
	if s.tail != Open || !isComplete {
		return false
	}
	s.begin += len(event)
	return true
}

// judge returns what an event, or the beginning of one, is. The bytes before from were judged before, except for the name
// of the first field. Bytes beyond the limit do not count, since they are not always read.
func (s *Splitter) judge(event []byte, from int) Tail {
	within := event[:min(len(event), s.maxEvent)]
	isComplete, isStatus := statusLine(within)
	switch {
	case isComplete:
		return Head
	case !isStatus && !hasFieldName(within):
		return NoEvent
	// The empty line behind the head of a response may stand inside an event that was cut.
	case !isStatus && bytes.Contains(within[min(from, len(within)):], []byte("\n\r\n")):
		return NoEvent
	case len(event) > s.maxEvent:
		return TooLarge
	}
	return Open
}

// hasFieldName reports whether the bytes begin with the name of a field and a colon, or may do so once they go on.
func hasFieldName(event []byte) bool {
	for _, b := range event {
		switch {
		case b == ':':
			return true
		case b < '!' || b > '~':
			return false
		}
	}
	return true
}

// statusLine reports whether the bytes begin with a status line, or may do so once they go on, and whether it is complete.
func statusLine(text []byte) (isComplete, isStatus bool) {
	const pattern = version + "0 000"
	for i, b := range text[:min(len(text), len(pattern))] {
		isDigit := b >= '0' && b <= '9'
		if pattern[i] == '0' && !isDigit || pattern[i] != '0' && b != pattern[i] {
			return false, false
		}
	}
	if len(text) <= len(pattern) {
		return false, true
	}
	end := text[len(pattern)]
	if end != ' ' && end != '\r' && end != '\n' {
		return false, false
	}
	return bytes.IndexByte(text, '\n') >= 0, true
}
