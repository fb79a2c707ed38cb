package config_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/config"
)

// Guards against log lines that cannot be joined to a request or host.
func TestLogCarriesRequest(t *testing.T) {
	var output bytes.Buffer
	logger := config.NewLogger("entry-1", logrus.InfoLevel, config.WithLogOutput(&output))
	logger.WithContext(config.WithRequest(context.Background(), "r-7")).Info("stream resumed")

	line := make(map[string]any)
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	assert.Equal(t, line[config.FieldRequest], "r-7")
	assert.Equal(t, line[config.FieldHost], "entry-1")
	assert.Equal(t, line["msg"], "stream resumed")
}

// Guards against credentials that reach a log through a formatting verb.
func TestSecretsAreNotPrinted(t *testing.T) {
	text := fmt.Sprintf("%v %+v %#v %s", sample(), sample(), sample(), sample().PeerSecret)
	assert.Assert(t, !bytes.Contains([]byte(text), []byte("0123456789abcdef")), text)
}
