package platform

import (
	"fmt"
	"strings"
	"time"
)

const (
	// Troubled sends a framed answer of Piece values, with troubles that depend on the request.
	Troubled Behaviour = "troubled"
	// LastPiece is the number of the last piece of a framed answer.
	LastPiece = framedPieces

	// TroubleRepeat repeats events at or before Last-Event-Id in a run that goes on with a stream.
	TroubleRepeat Trouble = "repeat"
	// TroubleAgain sends the events of a complete answer once more behind it.
	TroubleAgain Trouble = "again"
	// TroubleGoesOn sends events of another run, whose ids go on, behind a complete answer.
	TroubleGoesOn Trouble = "goes-on"
	// TroubleSecond sends a second answer with its head behind a complete one.
	TroubleSecond Trouble = "second"
	// TroubleBytes sends bytes that are no answer behind a complete one.
	TroubleBytes Trouble = "bytes"
	// TroubleLate sends an extra answer on a kept connection, some time after the complete one or before the next one.
	TroubleLate Trouble = "late"
	// TroubleRefusal refuses a request.
	TroubleRefusal Trouble = "refusal"
	// TroubleRefusalCopy is TroubleLate with a copy of an earlier refusal in place of an answer.
	TroubleRefusalCopy Trouble = "refusal-copy"
	// TroubleCutInside ends the connection inside an event.
	TroubleCutInside Trouble = "cut-inside"
	// TroubleCutBetween resets the connection between two events.
	TroubleCutBetween Trouble = "cut-between"

	minTroubledTime = 100 * time.Millisecond
	maxTroubledTime = 2200 * time.Millisecond
	// mostRepeats bounds the events that a run repeats.
	mostRepeats = 3
	// mostDelay bounds the time from a complete answer to what follows it later.
	mostDelay = 40 * time.Millisecond
)

var (
	// Troubles are all troubles.
	Troubles = []Trouble{
		TroubleRepeat, TroubleAgain, TroubleGoesOn, TroubleSecond, TroubleBytes, TroubleLate, TroubleRefusal, TroubleRefusalCopy, TroubleCutInside, TroubleCutBetween,
	}

	// troubleShares are the shares in 100 of the requests, without those that repeat events; the others have no trouble.
	troubleShares = []struct {
		trouble Trouble
		share   uint32
	}{
		{TroubleRefusal, 4}, {TroubleCutInside, 5}, {TroubleCutBetween, 6}, {TroubleAgain, 8}, {TroubleGoesOn, 8}, {TroubleSecond, 8},
		{TroubleBytes, 5}, {TroubleLate, 10}, {TroubleRefusalCopy, 8},
	}
)

type (
	// Trouble is what an engine with troubles does wrong in one answer.
	Trouble string

	// troublePlan is what an engine does with one request.
	troublePlan struct {
		// key tells the request and the attempt apart from all others.
		key     string
		framing Framing
		trouble Trouble
		// cutAt is the piece at which the answer is cut, zero if it is not.
		cutAt int
		// isReset is set if the connection is reset there and not closed.
		isReset bool
		// first is the first piece, which may be one that the caller has.
		first int
		pause time.Duration
	}
)

// TroubledFraming returns the framing of all answers to a request by engines with troubles.
func TroubledFraming(id string) Framing {
	return []Framing{FramedByChunks, Unframed11, Unframed10, FramedByLength}[hashOf("framing "+id)%4]
}

// IsUnframed reports whether an answer ends with its connection.
func (f Framing) IsUnframed() bool { return f == Unframed11 || f == Unframed10 }

// planTrouble returns what an engine does with a request that goes on after an event, zero for none, and has come to it
// count times before. Two engines may get a request that goes on after the same event, and differ then.
func planTrouble(engine, id string, isStream bool, after, count int) troublePlan {
	key := fmt.Sprintf("%s/%d/%d", id, after, count)
	if after > 0 {
		key += "/" + engine
	}
	plan := troublePlan{key: key, framing: TroubledFraming(id), first: after + 1}
	plan.pause = (minTroubledTime + time.Duration(hashOf("time "+key))%(maxTroubledTime-minTroubledTime)) / framedPieces
	if !isStream {
		plan.pause = time.Duration(plainShare * float64(plan.pause))
	}
	if after > 0 {
		plan.first = max(1, plan.first-int(plan.upTo("repeats", mostRepeats+1)))
	}
	plan.trouble = plan.drawTrouble()
	if plan.trouble == TroubleCutInside || plan.trouble == TroubleCutBetween {
		plan.cutAt = after + 1 + int(plan.upTo("cut", uint32(max(1, framedPieces-after))))
		// Only an event shows its end; the body of another answer may end anywhere with its connection.
		plan.isReset = plan.trouble == TroubleCutBetween || !isStream || plan.upTo("close", 2) == 0
	}
	return plan
}

func (p troublePlan) drawTrouble() Trouble {
	draw := p.upTo("trouble", 100)
	for _, row := range troubleShares {
		if draw >= row.share {
			draw -= row.share
			continue
		}
		if (row.trouble == TroubleLate || row.trouble == TroubleRefusalCopy) && p.framing.IsUnframed() {
			return TroubleGoesOn
		}
		return row.trouble
	}
	return ""
}

// upTo returns a number below most, which is the same for the same request and purpose.
func (p troublePlan) upTo(purpose string, most uint32) uint32 {
	return hashOf(purpose+" "+p.key) % most
}

// delay returns the time after which something follows an answer.
func (p troublePlan) delay() time.Duration {
	return time.Millisecond + time.Duration(hashOf("delay "+p.key))%mostDelay
}

// behind returns the bytes that follow a complete answer of the given pieces.
func (p troublePlan) behind(id string, own []Piece) string {
	switch p.trouble {
	case TroubleAgain:
		return marked(own, TroubleAgain)
	case TroubleGoesOn:
		return marked(foreign(own, framedPieces+1, framedPieces+1+int(p.upTo("further", 2))), TroubleGoesOn)
	case TroubleSecond:
		return p.secondAnswer(id, own)
	case TroubleBytes:
		return []string{"\x00\xff\xfe no answer\n\n", "<html>failed</html>\n\n", "piece", "\r\n\r\n"}[p.upTo("bytes", 4)]
	case TroubleLate:
		return rawAnswer(id, marked(own, TroubleLate), []Framing{FramedByChunks, FramedByLength}[p.upTo("late framing", 2)])
	default:
		return ""
	}
}

// secondAnswer returns an answer with its head, to the same request or another one.
func (p troublePlan) secondAnswer(id string, own []Piece) string {
	framing := []Framing{FramedByChunks, FramedByLength, Unframed11}[p.upTo("second framing", 3)]
	if p.upTo("second id", 2) == 0 {
		id = "x-" + id
	}
	if p.upTo("second pieces", 2) == 0 {
		return rawAnswer(id, marked(foreign(own, framedPieces+1, framedPieces+2), TroubleSecond), framing)
	}
	return rawAnswer(id, marked(foreign(own, 1, framedPieces), TroubleSecond), framing)
}

// foreign returns pieces of another stream and run.
func foreign(own []Piece, first, last int) []Piece {
	var pieces []Piece
	for number := first; number <= last; number++ {
		piece := own[0]
		piece.Number, piece.Stream, piece.Run, piece.After = number, "x-"+piece.Stream, "x-"+piece.Run, 0
		pieces = append(pieces, piece)
	}
	return pieces
}

func marked(pieces []Piece, trouble Trouble) string {
	var text strings.Builder
	for _, piece := range pieces {
		piece.Behind = trouble
		text.WriteString(piece.String())
	}
	return text.String()
}

// rawAnswer returns the bytes of a complete answer.
func rawAnswer(id, body string, framing Framing) string {
	head := "HTTP/1.1 200 OK\r\n" + headerRequestID + ": " + id + "\r\n" + headerServerStamp + ": " + stampPrefix + "extra\r\nContent-Type: text/event-stream\r\n"
	switch framing {
	case FramedByChunks:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	case FramedByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	default:
		return head + "\r\n" + body
	}
}

// rawRefusal returns the bytes of a refusal, which need not name its request.
func rawRefusal(id string, isNamed bool) string {
	head := "HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1\r\n"
	if isNamed {
		head += headerRequestID + ": " + id + "\r\n"
	}
	return head + "Content-Length: 0\r\n\r\n"
}
