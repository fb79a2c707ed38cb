package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"regexp"
	"strconv"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
	"magnoliaspoke.example/spoke/split"
)

// headReadSize is the size of the reads in which a body is searched for another response.
const headReadSize = 512

var (
	// errSecondAnswer reports the head of another response behind an event, or in an answer that was read whole.
	errSecondAnswer = errors.New("another response stands behind the answer")
	// errBehindLimit reports an event behind as many as the caller allows tokens.
	errBehindLimit = errors.New("more events than the caller allows tokens")

	// responseStart is the beginning of a response. It captures the status.
	responseStart = regexp.MustCompile(`HTTP/1\.[0-9] +([0-9]{3})[ \r\n]`)

	// behindKinds names the bytes that do not belong to an answer by the error that reports them.
	behindKinds = map[error]behindKind{
		errNotEvents: "no-event", errEventOrder: "event-order", errSecondAnswer: "response", errBehindLimit: "limit",
		errLargeEvent: "large-event", errTruncatedEvent: "partial-event",
	}
)

type (
	// behindKind names what stands behind the last event that belongs to an answer.
	behindKind string

	// behind is what was dropped behind the last event that belongs to an answer, as far as it was read.
	behind struct {
		kind   behindKind
		bytes  int
		events int
	}

	// foreignEvents are events that may belong to another run, and the error that reports them.
	foreignEvents struct {
		err   error
		bytes []byte
	}

	// streamEnd is why no further event follows: io.EOF if the answer ended behind one, otherwise what stands there or the
	// error of the read. The foreign events come before the tail.
	streamEnd struct {
		err           error
		foreign, tail []byte
	}
)

// tailError returns why no further event follows, nil if one may.
func tailError(tail split.Tail, readErr error, rest []byte) error {
	switch {
	case tail == split.NoEvent:
		return errNotEvents
	case tail == split.Head:
		return errSecondAnswer
	case tail == split.TooLarge:
		return errLargeEvent
	case errors.Is(readErr, io.EOF) && len(rest) > 0:
		return errTruncatedEvent
	}
	return readErr
}

// endStream ends the answer behind its last event. Bytes that do not belong to it break it off, unless nothing but the
// connection shows its end and it has as many events as its caller allows tokens. Another response shows no end: the
// upstream is faulty and may have cut the answer.
func (a *attempt) endStream(ctx context.Context, answer *link.Response, state *streamState, end streamEnd) bool {
	kind, isForeign := behindKinds[end.err]
	isWhole := errors.Is(end.err, io.EOF) || isForeign && answer.EndsWithConnection && a.isAtLimit(state.numbered)
	if isForeign && (isWhole || !errors.Is(end.err, errTruncatedEvent)) {
		a.dropBehind(kind, end.foreign, end.tail)
	}
	if !isWhole {
		return a.recordFailure(ctx, place.EndBroken, end.err)
	}
	if answer.EndsWithConnection && !state.hasBegun() && a.spec.LastEventID == "" {
		return a.recordFailure(ctx, place.EndBroken, errNoEvents)
	}
	if err := a.confirmEnd(ctx, answer, state.numbered); err != nil {
		return a.recordFailure(ctx, place.EndBroken, err)
	}
	return a.finishStream(state)
}

// isAtLimit reports whether a stream with so many events has as many as its caller allows tokens.
func (a *attempt) isAtLimit(events int) bool {
	return a.route.IsPrompt && place.IsAtLimit(a.call.Prompt, events)
}

// refuseSecondAnswer returns an error if the body of an answer contains the head of an answer to a request. The first one
// cannot be cut there, since nothing tells where in the body it ends.
func (a *attempt) refuseSecondAnswer(body []byte) error {
	source := bufio.NewReaderSize(nil, headReadSize)
	for rest := body; ; {
		start := responseStart.FindSubmatchIndex(rest)
		if start == nil {
			return nil
		}
		found := rest[start[0]:]
		_, fields, _ := bytes.Cut(found, []byte("\n"))
		unread := bytes.NewReader(fields)
		source.Reset(unread)
		header, err := textproto.NewReader(source).ReadMIMEHeader()
		status, _ := strconv.Atoi(string(rest[start[2]:start[3]]))
		if err == nil && a.codec.DecodeAnswer(a.spec, status, http.Header(header)).NamesRequest {
			a.dropBehind(behindKinds[errSecondAnswer], found)
			return errSecondAnswer
		}
		read := fields[:len(fields)-unread.Len()-source.Buffered()]
		// A head that begins in the lines read ends where this one does, unless it begins in the last one.
		rest = fields[bytes.LastIndexByte(bytes.TrimSuffix(read, []byte("\n")), '\n')+1:]
	}
}

// dropBehind records and counts bytes that do not belong to the answer.
func (a *attempt) dropBehind(kind behindKind, dropped ...[]byte) {
	a.behind.kind = kind
	for _, part := range dropped {
		a.behind.bytes += len(part)
		a.behind.events += bytes.Count(part, eventDelimiter)
	}
	a.metrics.addBehind()
}

// answerFields returns the framing of the answer, if there is one, and what was dropped behind it.
func (a *attempt) answerFields() logrus.Fields {
	fields := logrus.Fields{}
	if a.framing != "" {
		fields["framing"] = a.framing
	}
	if a.behind.kind != "" {
		fields["behind"], fields["behind-bytes"], fields["behind-events"] = a.behind.kind, a.behind.bytes, a.behind.events
	}
	return fields
}
