package platform

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var pieceForm = regexp.MustCompile(`^id: (\d+)\ndata: piece \d+ of (\S+) at (\S+) in (\S+) after (\d+)(?: behind (\S+))?\n\n$`)

// Piece is one event of an answer by an engine with troubles, with what tells where it came from.
type Piece struct {
	// Number is the place in the stream and the id of the event.
	Number int
	// Stream is the id of the request that began the stream.
	Stream string
	// Software is the version of the engine's software.
	Software string
	// Run names the run that made the piece.
	Run string
	// After is the event at which the run went on, zero for one that began a stream.
	After int
	// Behind is the trouble with which the piece was sent behind a complete answer, empty for one of the answer itself.
	Behind Trouble
}

// String returns the bytes of the event.
func (p Piece) String() string {
	behind := ""
	if p.Behind != "" {
		behind = " behind " + string(p.Behind)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d of %s at %s in %s after %d%s\n\n", p.Number, p.Number, p.Stream, p.Software, p.Run, p.After, behind)
}

// ParsePieces returns the pieces at the begin of an answer and the bytes behind them.
func ParsePieces(body string) (pieces []Piece, rest string) {
	for {
		event, others, isWhole := strings.Cut(body, "\n\n")
		fields := pieceForm.FindStringSubmatch(event + "\n\n")
		if !isWhole || fields == nil {
			return pieces, body
		}
		number, _ := strconv.Atoi(fields[1])
		after, _ := strconv.Atoi(fields[5])
		pieces = append(pieces, Piece{Number: number, Stream: fields[2], Software: fields[3], Run: fields[4], After: after, Behind: Trouble(fields[6])})
		body = others
	}
}
