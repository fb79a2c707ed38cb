package logs

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLength is the number of lines that may wait to be written.
	queueLength = 2048
	// maxOrdinaryLines and maxUrgentLines bound the lines of one limitWindow. Lines of level warning and
	// above have a limit of their own, so that successes cannot displace failures and refusals.
	maxOrdinaryLines = 300
	maxUrgentLines   = 900
	limitWindow      = time.Second
)

// Writer is a logrus hook that formats lines and writes them in a task of its own.
type Writer struct {
	output    io.Writer
	formatter logrus.Formatter
	lines     chan []byte
	now       func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	ordinary    int
	urgent      int
	dropped     int
}

// NewWriter returns a writer to an output.
func NewWriter(output io.Writer) *Writer {
	return &Writer{
		output:    output,
		formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
		lines:     make(chan []byte, queueLength),
		now:       time.Now,
	}
}

// Logger returns a logger that sends its lines to the writer, each with the given fields.
func (w *Writer) Logger(level logrus.Level, fields logrus.Fields) logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(discardFormatter{})
	logger.SetLevel(level)
	logger.AddHook(w)
	return logger.WithFields(fields)
}

// Levels returns all levels: the hook applies to every line.
func (*Writer) Levels() []logrus.Level { return logrus.AllLevels }

// Fire queues a line for the writer's task; it drops and counts the line if the queue is full or the
// limits are exceeded.
func (w *Writer) Fire(entry *logrus.Entry) error {
	if !w.admit(entry.Level) {
		return nil
	}
	line, err := w.formatter.Format(entry)
	if err != nil {
		return err
	}
	select {
	case w.lines <- line:
	default:
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
	return nil
}

// Run writes lines until ctx ends, then those left in the queue.
func (w *Writer) Run(ctx context.Context) error {
	report := time.NewTicker(limitWindow)
	defer report.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-report.C:
			w.reportDropped()
		case <-ctx.Done():
			w.flush()
			w.reportDropped()
			return ctx.Err()
		}
	}
}

func (w *Writer) admit(level logrus.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.windowStart) >= limitWindow {
		w.windowStart, w.ordinary, w.urgent = now, 0, 0
	}
	count, limit := &w.ordinary, maxOrdinaryLines
	if level <= logrus.WarnLevel {
		count, limit = &w.urgent, maxUrgentLines
	}
	*count++
	if *count > limit {
		w.dropped++
		return false
	}
	return true
}

func (w *Writer) reportDropped() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped == 0 {
		return
	}
	entry := &logrus.Entry{Logger: logrus.StandardLogger(), Time: w.now(), Level: logrus.WarnLevel, Message: "log lines left out", Data: logrus.Fields{"lines": dropped}}
	if line, err := w.formatter.Format(entry); err == nil {
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

// write ignores errors of the output, since there is nowhere else to report them.
func (w *Writer) write(line []byte) { _, _ = w.output.Write(line) }

// discardFormatter saves the work of formatting lines for an output that discards them.
type discardFormatter struct{}

// Format returns nothing.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }
