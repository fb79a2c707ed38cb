package ready

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// Caller is the listener of the caller API.
	Caller Listener = "caller"
	// Internal is the listener for other entry hosts.
	Internal Listener = "internal"
	// Admin is the listener of the administration API.
	Admin Listener = "admin"
	// Metrics is the listener of the metrics.
	Metrics Listener = "metrics"
	// Service is the only listener of a platform, engine, store host or plain service.
	Service Listener = "service"

	// maxLine bounds what a starter reads before it gives up on the program.
	maxLine = 64 << 10
)

var (
	// ErrNoLine marks a program whose output ended without a line that says it serves.
	ErrNoLine = eris.New("output ended without a ready line")
)

type (
	// Listener names a listener of a program.
	Listener string

	// Line tells that a program serves and where.
	Line struct {
		Addresses map[Listener]spoke.Address
	}
)

// Write writes the line to the program's standard output.
func Write(output io.Writer, line Line) error {
	text, err := encode(line)
	if err != nil {
		return err
	}
	if _, err := output.Write(append(text, '\n')); err != nil {
		return eris.Wrap(err, "write ready line")
	}
	return nil
}

// Read returns the first ready line of a program's output and skips other lines.
func Read(output io.Reader) (Line, error) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := decode(scanner.Bytes()); ok {
			return line, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return Line{}, eris.Wrap(err, "read ready line")
	}
	return Line{}, ErrNoLine
}
