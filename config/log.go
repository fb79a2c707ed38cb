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
	// FieldRequest is the log field that carries the request id.
	FieldRequest = "request-id"
	// FieldHost is the log field that carries the host id.
	FieldHost = "host-id"
)

type (
	// LogOption changes the log that LogSetup returns.
	LogOption func(*logrus.Logger)

	requestKey struct{}

	hostHook struct{ host spoke.HostID }
)

// WithLogOutput sends the log to a writer other than standard error.
func WithLogOutput(output io.Writer) LogOption {
	return func(logger *logrus.Logger) { logger.SetOutput(output) }
}

// LogSetup returns a logger that writes JSON lines to standard error, each with the host
// id and, for entries with a context from WithRequest, the request id.
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

// WithRequest returns a context whose log entries carry the request id.
func WithRequest(ctx context.Context, id spoke.RequestID) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// RequestOf returns the request id of a context, empty if it has none.
func RequestOf(ctx context.Context) spoke.RequestID {
	id, _ := ctx.Value(requestKey{}).(spoke.RequestID)
	return id
}

// Levels applies the hook to every level.
func (hostHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the host id and the context's request id.
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
