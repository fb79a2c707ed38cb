package soak

import (
	"strings"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// The forms in which the order of pieces can be broken; those of a caller's tries have triesPrefix before them.
	formMissing  = "a piece missing"
	formTwice    = "a piece twice"
	formJoined   = "pieces of two runs joined"
	formEarly    = "complete before its last piece"
	formVersions = "two software versions"
	triesPrefix  = "over a caller's tries: "
	// notTold counts what follows an answer so that neither its bytes nor the request tell it from a part of it.
	notTold = "not told apart"

	usualMaxOutput = 20
)

// orderForms are all forms.
var orderForms = []string{formMissing, formTwice, formJoined, formEarly, formVersions, triesPrefix + formVersions}

// orderCheck checks the pieces of one answer.
type orderCheck struct {
	exchange
	framing fake.Framing
	// begun is the software version of the first piece of the stream, from an earlier try or empty.
	begun string
	// isCutByKill is set if the host was killed meanwhile and the answer to the caller has no framing.
	isCutByKill bool

	last  int
	run   string
	count int
	found []orderFault
}

// orderFault is a form with the trouble behind which it shows, empty if there is none.
type orderFault struct {
	form   string
	behind fake.Trouble
}

// check returns the forms that the answer shows. Begun is the software version of the pieces of earlier tries.
func (x exchange) check(begun string, isCutByKill bool) *orderCheck {
	c := &orderCheck{exchange: x, framing: fake.TroubledFraming(x.id), begun: begun, isCutByKill: isCutByKill, last: x.after}
	if x.status != 200 {
		return c
	}
	pieces, rest := fake.ParsePieces(x.body)
	for _, piece := range pieces {
		c.count++
		if piece.Behind != "" {
			c.addBehind(piece)
		} else {
			c.addPiece(piece)
		}
		c.last = max(c.last, piece.Number)
	}
	c.checkEnd(rest)
	return c
}

// addPiece checks a piece of a run for the stream. A run may follow another one only if it goes on at its last piece.
func (c *orderCheck) addPiece(piece fake.Piece) {
	switch {
	case piece.Stream != c.stream:
		c.add(formJoined)
	case piece.Number <= c.last:
		c.add(formTwice)
	case piece.Number > c.last+1:
		c.add(formMissing)
	case piece.Run != c.run && piece.After != c.last:
		c.add(formJoined)
	}
	if c.begun != "" && piece.Software != c.begun {
		c.add(formVersions)
	}
	c.begun, c.run = piece.Software, piece.Run
}

// addBehind checks a piece that was sent behind a complete answer.
func (c *orderCheck) addBehind(piece fake.Piece) {
	switch {
	case !c.isTold(piece):
		c.found = append(c.found, orderFault{notTold, piece.Behind})
	case piece.Number <= c.last:
		c.found = append(c.found, orderFault{formTwice, piece.Behind})
	default:
		c.found = append(c.found, orderFault{formJoined, piece.Behind})
	}
}

// isTold reports whether the bytes of the answer and the request allow to know that a piece stands behind the answer. A
// length and chunks tell it. Where the answer ends with its connection, an id that goes back or a head before the piece
// tells it, and so do more events than the request allows tokens, since each event has one at least. An event whose id goes
// on does not, nor does anything in a body that is no stream and thus has no form. In a call that takes a stream up, the
// events before it do not count, since their number does not follow from Last-Event-Id.
func (c *orderCheck) isTold(piece fake.Piece) bool {
	switch {
	case !c.framing.IsUnframed():
		return true
	case !c.isStream():
		return false
	case piece.Behind != fake.TroubleGoesOn:
		return true
	}
	most := c.maxOutput
	if most == 0 {
		most = usualMaxOutput
	}
	return c.count > most
}

// checkEnd checks the end of the answer and the bytes behind its pieces.
func (c *orderCheck) checkEnd(rest string) {
	looksComplete := c.err == nil && !c.hasLeft
	isForeign := strings.Contains(rest, "\n\n") || (looksComplete && rest != "")
	switch {
	case looksComplete && c.last < fake.LastPiece && c.isCutByKill:
	case looksComplete && c.last < fake.LastPiece:
		c.add(formEarly)
	case isForeign && c.framing.IsUnframed() && !c.isStream():
		c.found = append(c.found, orderFault{notTold, fake.TroubleBytes})
	case isForeign:
		c.add(formJoined)
	}
}

// add records a form; that of a first piece, or of a version that only an earlier try tells, is one of the caller's tries.
func (c *orderCheck) add(form string) {
	if c.after > 0 && c.count == 1 && form != formEarly {
		form = triesPrefix + form
	}
	c.found = append(c.found, orderFault{form: form})
}
