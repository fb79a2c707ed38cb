package logs

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// buffered is the number of lines that wait for the writer.
	buffered = 2048
	// ordinaryLimit and urgentLimit bound the lines of a second. Failures and refusals have a
	// limit of their own, so that successes cannot crowd them out.
	ordinaryLimit = 300
	urgentLimit   = 900
	limitWindow   = time.Second
)

// Writer formats and writes lines in a task of its own; it is a hook of logrus.
type Writer struct {
	output io.Writer
	format logrus.Formatter
	lines  chan []byte
	now    func() time.Time

	mu       sync.Mutex
	since    time.Time
	ordinary int
	urgent   int
	leftOut  int
}

// NewWriter returns a writer to an output.
func NewWriter(output io.Writer) *Writer {
	return &Writer{
		output: output,
		format: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
		lines:  make(chan []byte, buffered),
		now:    time.Now,
	}
}

// Logger returns a logger whose lines go to the writer, each with the given fields.
func (w *Writer) Logger(level logrus.Level, fields logrus.Fields) logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(noFormat{})
	logger.SetLevel(level)
	logger.AddHook(w)
	return logger.WithFields(fields)
}

// Levels applies the writer to every level.
func (*Writer) Levels() []logrus.Level { return logrus.AllLevels }

// Fire hands a line to the writer's task, or counts it if there is no room.
func (w *Writer) Fire(entry *logrus.Entry) error {
	if !w.admit(entry.Level) {
		return nil
	}
	line, err := w.format.Format(entry)
	if err != nil {
		return err
	}
	select {
	case w.lines <- line:
	default:
		w.mu.Lock()
		w.leftOut++
		w.mu.Unlock()
	}
	return nil
}

// Run writes lines until ctx ends, then those that still wait.
func (w *Writer) Run(ctx context.Context) error {
	report := time.NewTicker(limitWindow)
	defer report.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-report.C:
			w.reportLeftOut()
		case <-ctx.Done():
			w.flush()
			w.reportLeftOut()
			return ctx.Err()
		}
	}
}

func (w *Writer) admit(level logrus.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.since) >= limitWindow {
		w.since, w.ordinary, w.urgent = now, 0, 0
	}
	count, limit := &w.ordinary, ordinaryLimit
	if level <= logrus.WarnLevel {
		count, limit = &w.urgent, urgentLimit
	}
	*count++
	if *count > limit {
		w.leftOut++
		return false
	}
	return true
}

func (w *Writer) reportLeftOut() {
	w.mu.Lock()
	leftOut := w.leftOut
	w.leftOut = 0
	w.mu.Unlock()
	if leftOut == 0 {
		return
	}
	entry := &logrus.Entry{Logger: logrus.StandardLogger(), Time: w.now(), Level: logrus.WarnLevel, Message: "log lines left out", Data: logrus.Fields{"lines": leftOut}}
	if line, err := w.format.Format(entry); err == nil {
		w.write(line)
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write drops lines that the output does not take, since there is nowhere to say so.
func (w *Writer) write(line []byte) { _, _ = w.output.Write(line) }

// noFormat saves the work of formatting lines for an output that discards them.
type noFormat struct{}

// Format returns nothing.
func (noFormat) Format(*logrus.Entry) ([]byte, error) { return nil, nil }
