package runner

import (
	"strings"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// maxPieceStarts is the least number of recent piece starts that are kept to match an
// overlapping piece. An overlap results from a resume or a repeated piece and is short.
const maxPieceStarts = 256

type (
	// answer is the text delivered to the caller, with the start of each recent
	// piece, so that an overlapping piece can be trimmed.
	answer struct {
		delivered strings.Builder
		tokens    spoke.TokenCount
		starts    []pieceStart
	}

	// pieceStart maps the token offset of a piece to its byte offset in the text.
	pieceStart struct {
		tokenOffset spoke.TokenCount
		textOffset  int
	}
)

// add appends the piece and returns its part that has not been delivered yet. It returns
// an error if the piece leaves a gap or differs from the delivered text.
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
	if len(a.starts) == 2*maxPieceStarts {
		a.starts = append(a.starts[:0], a.starts[maxPieceStarts:]...)
	}
	a.starts = append(a.starts, pieceStart{a.tokens, a.delivered.Len()})
	a.delivered.WriteString(piece.Text)
	a.tokens += piece.Tokens
	return piece, nil
}

// trim removes the tokens that have been delivered from the piece.
func (a *answer) trim(piece spoke.Piece) (spoke.Piece, error) {
	overlap := a.tokens - piece.Offset
	if piece.Tokens <= overlap {
		piece.Offset, piece.Tokens, piece.Text = a.tokens, 0, ""
		return piece, nil
	}
	overlapText, ok := a.textFrom(piece.Offset)
	if !ok || !strings.HasPrefix(piece.Text, overlapText) {
		return piece, eris.Errorf("piece at token %d does not match the text delivered up to token %d", piece.Offset, a.tokens)
	}
	piece.Offset = a.tokens
	piece.Tokens -= overlap
	piece.Text = piece.Text[len(overlapText):]
	return piece, nil
}

func (a *answer) textFrom(offset spoke.TokenCount) (string, bool) {
	for i := len(a.starts) - 1; i >= 0 && a.starts[i].tokenOffset >= offset; i-- {
		if a.starts[i].tokenOffset == offset {
			return a.delivered.String()[a.starts[i].textOffset:], true
		}
	}
	return "", false
}
