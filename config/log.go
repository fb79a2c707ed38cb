package config

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// FieldRequest is the name of the log field for the request ID.
	FieldRequest = "request-id"
	// FieldHost is the name of the log field for the host ID.
	FieldHost = "host-id"
)

type (
	// LogOption configures the logger that NewLogger returns.
	LogOption func(*logrus.Logger)

	requestKey struct{}

	hostHook struct{ host spoke.HostID }
)

// WithLogOutput sets the writer of the log, which is standard error by default.
func WithLogOutput(output io.Writer) LogOption {
	return func(logger *logrus.Logger) { logger.SetOutput(output) }
}

// NewLogger returns a logger that writes JSON lines to standard error. Each line carries the host
// ID and, if the entry has a context from WithRequest, the request ID.
func NewLogger(host spoke.HostID, level logrus.Level, options ...LogOption) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.AddHook(hostHook{host})
	for _, option := range options {
		option(logger)
	}
	return logger
}

// WithRequest returns a context whose log entries carry the request ID.
func WithRequest(ctx context.Context, id spoke.RequestID) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// RequestOf returns the request ID of a context, empty if it has none.
func RequestOf(ctx context.Context) spoke.RequestID {
	id, _ := ctx.Value(requestKey{}).(spoke.RequestID)
	return id
}

// Levels returns all levels.
func (hostHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the host ID and the request ID of the context to the entry.
func (h hostHook) Fire(entry *logrus.Entry) error {
	if h.host != "" {
		entry.Data[FieldHost] = string(h.host)
	}
	if entry.Context == nil {
		return nil
	}
	if id := RequestOf(entry.Context); id != "" {
		entry.Data[FieldRequest] = string(id)
	}
	return nil
}
