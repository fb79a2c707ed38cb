package platform

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// RunStarts stands in the line that states that a request was not refused, followed by the event after which it goes on.
	RunStarts = "runs"
	// TroubleMade stands in the line that states a trouble, followed by its name.
	TroubleMade = "trouble"
)

type (
	// troubles gives answers with troubles; it is safe for concurrent use.
	troubles struct {
		engine, software string
		log              io.Writer

		mu sync.Mutex
		// seen counts the requests by id.
		seen map[string]int
		runs int
		// refused is the id of the last request that was refused.
		refused string
	}

	// troubledRun is the answer to one request.
	troubledRun struct {
		troublePlan
		*troubles
		id   string
		conn *troubledConn
		// pieces holds the pieces of the answer in order.
		pieces []Piece
		after  int

		sink  io.Writer
		flush func() error
	}
)

func newTroubles(engine, software string, log io.Writer) *troubles {
	return &troubles{engine: engine, software: software, log: log, seen: make(map[string]int)}
}

// serve answers a request whose header fields of all answers are set.
func (t *troubles) serve(w http.ResponseWriter, r *http.Request) {
	run := t.newRun(r)
	run.conn.sendLate()
	if run.trouble == TroubleRefusal {
		run.refuse(w)
		return
	}
	t.line(RunStarts, run.id, strconv.Itoa(run.after))
	if run.first <= run.after {
		t.line(TroubleMade, run.id, string(TroubleRepeat))
	}
	if run.isStream(r) {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	run.begin(w)
	defer run.end()
	run.send()
}

func (t *troubles) newRun(r *http.Request) *troubledRun {
	run := &troubledRun{troubles: t, id: r.Header.Get(headerRequestID), conn: troubledConnOf(r)}
	run.after, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	t.mu.Lock()
	count := t.seen[run.id]
	t.seen[run.id]++
	t.runs++
	name := fmt.Sprintf("%s.%d", t.engine, t.runs)
	t.mu.Unlock()
	run.troublePlan = planTrouble(t.engine, run.id, run.isStream(r), run.after, count)
	stream := cmp.Or(r.Header.Get("Resumes"), r.Header.Get("Magnoliaspoke-Resumes"), run.id)
	for number := run.first; number <= framedPieces; number++ {
		run.pieces = append(run.pieces, Piece{Number: number, Stream: stream, Software: t.software, Run: name, After: run.after})
	}
	return run
}

func (t *troubles) line(word, id, text string) {
	_, _ = fmt.Fprintln(t.log, time.Now().UnixMilli(), word, id, text)
}

func (r *troubledRun) isStream(request *http.Request) bool {
	return request.Header.Get(headerModel) != ""
}

// refuse states that the request was not run.
func (r *troubledRun) refuse(w http.ResponseWriter) {
	r.line(TroubleMade, r.id, string(TroubleRefusal))
	r.mu.Lock()
	r.refused = r.id
	r.mu.Unlock()
	w.Header().Del(headerServerStamp)
	w.Header().Set(headerNotExecuted, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setRefusalCopy sets a copy of the last refusal, which names its request or not, to be sent late.
func (r *troubledRun) setRefusalCopy() {
	r.mu.Lock()
	refused := r.refused
	r.mu.Unlock()
	if refused != "" {
		r.setLate(rawRefusal(refused, r.upTo("named", 2) == 0))
	}
}

func (r *troubledRun) setLate(text string) {
	delay := time.Duration(0)
	if r.upTo("late", 2) == 0 {
		delay = r.delay()
	}
	r.conn.setLate(text, delay, func() { r.line(TroubleMade, r.id, string(r.trouble)) })
}

// begin sends the head of an answer that has neither a length nor chunks, and sets the fields of others.
func (r *troubledRun) begin(w http.ResponseWriter) {
	r.sink, r.flush = w, http.NewResponseController(w).Flush
	switch {
	case r.framing == FramedByLength:
		length := 0
		for _, piece := range r.pieces {
			length += len(piece.String())
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	case r.framing.IsUnframed():
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		writeUnframedHead(conn, r.framing, w.Header())
		r.sink, r.flush = conn, func() error { return nil }
	}
}

func (r *troubledRun) end() {
	if r.framing.IsUnframed() {
		_ = r.conn.Close()
	}
}

// send sends the pieces and what follows them.
func (r *troubledRun) send() {
	for i, piece := range r.pieces {
		if piece.Number > r.after {
			time.Sleep(r.pause)
		}
		if piece.Number == r.cutAt {
			r.cut(piece.String())
		}
		if i == len(r.pieces)-1 && r.framing != FramedByChunks {
			r.follow()
		}
		if _, err := io.WriteString(r.sink, piece.String()); err != nil || r.flush() != nil {
			return
		}
	}
	if r.framing == FramedByChunks && len(r.pieces) > 0 {
		r.follow()
	}
	if r.framing.IsUnframed() && r.isSeparate() && len(r.pieces) > 0 {
		r.followSeparately()
	}
}

// isSeparate reports whether bytes follow an answer that ends with its connection in a write of their own.
func (r *troubledRun) isSeparate() bool { return r.upTo("separate", 2) == 0 }

// follow sets what is sent with the last bytes of the answer or later.
func (r *troubledRun) follow() {
	if r.trouble == TroubleRefusalCopy {
		r.setRefusalCopy()
		return
	}
	text := r.behind(r.id, r.ownPieces())
	switch {
	case text == "" || (r.framing.IsUnframed() && r.isSeparate()):
	case r.trouble == TroubleLate:
		r.setLate(text)
	default:
		r.line(TroubleMade, r.id, string(r.trouble))
		r.conn.setNext(text)
	}
}

// followSeparately sends bytes some time after the last piece.
func (r *troubledRun) followSeparately() {
	text := r.behind(r.id, r.ownPieces())
	if text == "" {
		return
	}
	time.Sleep(r.delay())
	r.line(TroubleMade, r.id, string(r.trouble))
	_, _ = io.WriteString(r.sink, text)
}

// ownPieces returns the pieces behind the event at which the run went on, or the last one if there is none.
func (r *troubledRun) ownPieces() []Piece {
	repeated := min(r.after+1-r.first, len(r.pieces)-1)
	return r.pieces[repeated:]
}

// cut ends the connection inside or before an event; it does not return.
func (r *troubledRun) cut(event string) {
	r.line(TroubleMade, r.id, string(r.trouble))
	if r.trouble == TroubleCutInside {
		part := 1 + int(r.upTo("part", uint32(len(event)-2)))
		_, _ = io.WriteString(r.sink, strings.TrimSuffix(event[:part], "\n"))
		_ = r.flush()
	}
	if r.isReset {
		r.conn.abort()
	}
	_ = r.conn.Close()
	panic(http.ErrAbortHandler)
}
