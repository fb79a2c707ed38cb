package platform

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// Framed sends an answer in pieces, in a framing and over a time that depend on the id of its request.
	Framed Behaviour = "framed"

	// FramedByChunks answers in chunks.
	FramedByChunks Framing = "chunks"
	// FramedByLength answers with a length; streams have none.
	FramedByLength Framing = "length"
	// Unframed11 answers with neither a length nor chunks and the status line of HTTP/1.1.
	Unframed11 Framing = "neither-1.1"
	// Unframed10 is Unframed11 with the status line of HTTP/1.0.
	Unframed10 Framing = "neither-1.0"

	// framedPieces is the number of pieces of a framed answer.
	framedPieces = 8
	// minFramedTime and maxFramedTime bound the time of a framed stream; other answers take plainShare of it.
	minFramedTime = 100 * time.Millisecond
	maxFramedTime = 3800 * time.Millisecond
	plainShare    = 0.25
)

// Framing is the way in which an answer shows its end.
type Framing string

// FramingOf returns the framing of the answer to a request.
func FramingOf(id string, isStream bool) Framing {
	framings := []Framing{FramedByChunks, Unframed11, Unframed10, FramedByLength}
	if isStream {
		framings = framings[:3]
	}
	return framings[hashOf("framing "+id)%uint32(len(framings))]
}

// FramedAnswer returns the pieces after the given one of the framed answer to a request.
func FramedAnswer(id string, after int) string {
	var answer strings.Builder
	for piece := after + 1; piece <= framedPieces; piece++ {
		answer.WriteString(framedPiece(id, piece))
	}
	return answer.String()
}

func framedPiece(id string, piece int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", piece, piece, id)
}

func hashOf(text string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(text))
	sum := hash.Sum32()
	return sum ^ sum>>15
}

func (e *Engine) writeFramed(w http.ResponseWriter, r *http.Request) {
	id, isStream := r.Header.Get(headerRequestID), r.Header.Get(headerModel) != ""
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	pause := (minFramedTime + time.Duration(hashOf("time "+id))%(maxFramedTime-minFramedTime)) / framedPieces
	if isStream {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		pause = time.Duration(plainShare * float64(pause))
	}
	var sink io.Writer = w
	flush := http.NewResponseController(w).Flush
	switch framing := FramingOf(id, isStream); framing {
	case FramedByLength:
		w.Header().Set("Content-Length", strconv.Itoa(len(FramedAnswer(id, after))))
	case Unframed11, Unframed10:
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		writeUnframedHead(conn, framing, w.Header())
		sink, flush = conn, func() error { return nil }
	}
	for piece := after + 1; piece <= framedPieces; piece++ {
		time.Sleep(pause)
		_, err := io.WriteString(sink, framedPiece(id, piece))
		if err != nil || flush() != nil {
			return
		}
	}
}

func writeUnframedHead(conn io.Writer, framing Framing, header http.Header) {
	status := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	if framing == Unframed10 {
		status = "HTTP/1.0 200 OK\r\n"
	}
	_, _ = io.WriteString(conn, status)
	_ = header.Write(conn)
	_, _ = io.WriteString(conn, "\r\n")
}
