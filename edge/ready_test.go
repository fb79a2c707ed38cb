package edge_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// lineHook runs a function once, when a line is logged, before the host goes on.
type lineHook struct {
	message string
	once    sync.Once
	do      func()
}

func (*lineHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *lineHook) Fire(entry *logrus.Entry) error {
	if entry.Message == h.message {
		h.once.Do(h.do)
	}
	return nil
}

// Guards against a host that is ready before its scheduler has the upstreams that it read with its first
// routing table, and refuses calls meanwhile.
func TestReadyHostHasUpstreams(t *testing.T) {
	d := start(t, 1).beside("host-2")
	type result struct {
		got answer
		err error
	}
	first := make(chan result, 1)
	d.hook = &lineHook{message: "routing table in force", do: func() {
		got, err := d.send(lookCall("first"))
		first <- result{got, err}
	}}
	d.runHost()
	r := <-first
	assert.NilError(t, r.err)
	assert.Equal(t, r.got.status, http.StatusOK)
}
