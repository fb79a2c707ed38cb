package delta

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// objectEnd ends a piece: the entries of a list of JSON objects are pieces of their own, wherever they stand.
	objectEnd = '}'
	// maxPiece bounds a piece, in bytes.
	maxPiece = 1024

	opLiteral = 0
	opCopy    = 1
)

// ErrInvalid reports a delta that does not belong to its base or is damaged.
var ErrInvalid = eris.New("invalid delta")

// writer collects the steps that make the target from the base.
type writer struct {
	out *flate.Writer
	// literal holds bytes that are not in the base, copyFrom and copyCount the pending run of its pieces.
	literal             []byte
	copyFrom, copyCount int
}

// Encode returns the difference between a target and a base, which may be empty.
func Encode(base, target []byte) ([]byte, error) {
	var encoded bytes.Buffer
	compressor, err := flate.NewWriter(&encoded, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "encode delta")
	}
	w := &writer{out: compressor}
	known := positions(split(base))
	for _, piece := range split(target) {
		if err := w.add(piece, known); err != nil {
			return nil, eris.Wrap(err, "encode delta")
		}
	}
	if err := errors.Join(w.flush(), compressor.Close()); err != nil {
		return nil, eris.Wrap(err, "encode delta")
	}
	return encoded.Bytes(), nil
}

// Apply returns the target of a delta to a base. It returns ErrInvalid if the base is another one or the target is
// larger than limit.
func Apply(base, encoded []byte, limit spoke.ByteSize) ([]byte, error) {
	pieces := split(base)
	in := bufio.NewReader(flate.NewReader(bytes.NewReader(encoded)))
	var target []byte
	for {
		op, err := binary.ReadUvarint(in)
		if errors.Is(err, io.EOF) {
			return target, nil
		}
		if err != nil {
			return nil, eris.Wrap(ErrInvalid, err.Error())
		}
		room := int(limit) - len(target)
		part, err := readStep(in, op, pieces, room)
		if err != nil {
			return nil, err
		}
		target = append(target, part...)
	}
}

// split divides a content into pieces that are the same wherever they stand.
func split(content []byte) [][]byte {
	var pieces [][]byte
	for len(content) > 0 {
		window := content[:min(maxPiece, len(content))]
		size := len(window)
		if end := bytes.IndexByte(window, objectEnd); end >= 0 {
			size = end + 1
		}
		pieces = append(pieces, content[:size])
		content = content[size:]
	}
	return pieces
}

// positions returns the index of each piece.
func positions(pieces [][]byte) map[string]int {
	known := make(map[string]int, len(pieces))
	for i, piece := range pieces {
		known[string(piece)] = i
	}
	return known
}

func (w *writer) add(piece []byte, known map[string]int) error {
	at, isKnown := known[string(piece)]
	isNext := isKnown && w.copyCount > 0 && at == w.copyFrom+w.copyCount
	if isNext {
		w.copyCount++
		return nil
	}
	if isKnown || w.copyCount > 0 {
		if err := w.flush(); err != nil {
			return err
		}
	}
	if isKnown {
		w.copyFrom, w.copyCount = at, 1
		return nil
	}
	w.literal = append(w.literal, piece...)
	return nil
}

// flush writes the pending step.
func (w *writer) flush() error {
	var step []byte
	switch {
	case w.copyCount > 0:
		step = binary.AppendUvarint(binary.AppendUvarint([]byte{opCopy}, uint64(w.copyFrom)), uint64(w.copyCount))
	case len(w.literal) > 0:
		step = append(binary.AppendUvarint([]byte{opLiteral}, uint64(len(w.literal))), w.literal...)
	}
	w.literal, w.copyCount = w.literal[:0], 0
	_, err := w.out.Write(step)
	return err
}

// readStep returns the bytes that one step adds, at most room.
func readStep(in *bufio.Reader, op uint64, pieces [][]byte, room int) ([]byte, error) {
	first, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	switch op {
	case opLiteral:
		if first > uint64(max(room, 0)) {
			return nil, eris.Wrapf(ErrInvalid, "%d bytes where %d fit", first, room)
		}
		part := make([]byte, first)
		if _, err := io.ReadFull(in, part); err != nil {
			return nil, eris.Wrap(ErrInvalid, err.Error())
		}
		return part, nil
	case opCopy:
		count, err := binary.ReadUvarint(in)
		if err != nil {
			return nil, eris.Wrap(ErrInvalid, err.Error())
		}
		return copied(pieces, first, count, room)
	}
	return nil, eris.Wrapf(ErrInvalid, "unknown step %d", op)
}

func copied(pieces [][]byte, first, count uint64, room int) ([]byte, error) {
	total := uint64(len(pieces))
	if first > total || count > total-first {
		return nil, eris.Wrapf(ErrInvalid, "pieces %d to %d of %d", first, first+count, total)
	}
	part := bytes.Join(pieces[first:first+count], nil)
	if len(part) > room {
		return nil, eris.Wrapf(ErrInvalid, "%d bytes where %d fit", len(part), room)
	}
	return part, nil
}
