package runner

import (
	"strings"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// maxMarks bounds the pieces that an overlap can be matched with; an overlap comes
// from a resume or a repeated piece and does not reach far back.
const maxMarks = 256

type (
	// answer is the text that the caller has, with the byte offset of each
	// piece's first token, so that an overlapping piece can be trimmed.
	answer struct {
		text   strings.Builder
		tokens spoke.TokenCount
		starts []mark
	}

	mark struct {
		offset spoke.TokenCount
		at     int
	}
)

// add returns the part of the piece that the caller does not have yet. An
// error means that the piece leaves a gap or contradicts the delivered text.
func (a *answer) add(piece spoke.Piece) (spoke.Piece, error) {
	if piece.Tokens < 0 || piece.Offset > a.tokens {
		return piece, eris.Errorf("piece at token %d with %d tokens follows token %d", piece.Offset, piece.Tokens, a.tokens)
	}
	if piece.Offset < a.tokens {
		trimmed, err := a.trim(piece)
		if err != nil {
			return piece, err
		}
		piece = trimmed
	}
	if piece.Tokens == 0 {
		piece.Text = ""
		return piece, nil
	}
	if len(a.starts) == 2*maxMarks {
		a.starts = append(a.starts[:0], a.starts[maxMarks:]...)
	}
	a.starts = append(a.starts, mark{a.tokens, a.text.Len()})
	a.text.WriteString(piece.Text)
	a.tokens += piece.Tokens
	return piece, nil
}

// trim cuts the tokens that the caller already has off the piece.
func (a *answer) trim(piece spoke.Piece) (spoke.Piece, error) {
	overlap := a.tokens - piece.Offset
	if piece.Tokens <= overlap {
		piece.Offset, piece.Tokens, piece.Text = a.tokens, 0, ""
		return piece, nil
	}
	have, ok := a.from(piece.Offset)
	if !ok || !strings.HasPrefix(piece.Text, have) {
		return piece, eris.Errorf("piece at token %d does not match the text delivered up to token %d", piece.Offset, a.tokens)
	}
	piece.Offset = a.tokens
	piece.Tokens -= overlap
	piece.Text = piece.Text[len(have):]
	return piece, nil
}

func (a *answer) from(offset spoke.TokenCount) (string, bool) {
	for i := len(a.starts) - 1; i >= 0 && a.starts[i].offset >= offset; i-- {
		if a.starts[i].offset == offset {
			return a.text.String()[a.starts[i].at:], true
		}
	}
	return "", false
}
