package logs_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/logs"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// Guards against requests that block until the log is read.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	output := blockedOutput{make(chan struct{})}
	writer := logs.NewWriter(output)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- writer.Run(ctx) }()
	log := writer.Logger(logrus.InfoLevel, nil)
	for range 10000 {
		log.Warn("line")
	}
	close(output.release)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// Guards against successes that displace failures in the log, and against lines that are dropped without
// being counted.
func TestSuccessesDoNotDisplaceFailures(t *testing.T) {
	var output bytes.Buffer
	writer := logs.NewWriter(&output)
	log := writer.Logger(logrus.InfoLevel, logrus.Fields{"host-id": "h"})
	for range 1000 {
		log.Info("success")
	}
	log.WithField("request-id", "r").Warn("failure")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, writer.Run(ctx), context.Canceled)
	text := output.String()
	assert.Equal(t, strings.Count(text, "success"), 300)
	assert.Assert(t, strings.Contains(text, `"host-id":"h"`) && strings.Contains(text, `"request-id":"r"`))
	assert.Assert(t, strings.Contains(text, `"lines":700`), "%s", text[len(text)-300:])
}
