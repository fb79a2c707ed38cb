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

	// maxLineBytes bounds a line of output; Read fails on a longer one.
	maxLineBytes = 64 << 10
)

var (
	// ErrNoLine reports that a program's output ended without a ready line.
	ErrNoLine = eris.New("output ended without a ready line")
)

type (
	// Listener names a listener of a program.
	Listener string

	// Line reports that a program is ready, and the address of each of its listeners.
	Line struct {
		Addresses map[Listener]spoke.Address
	}
)

// Write writes the line to output, the program's standard output.
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

// Read returns the first ready line of a program's output and skips other lines before it.
func Read(output io.Reader) (Line, error) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maxLineBytes)
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
