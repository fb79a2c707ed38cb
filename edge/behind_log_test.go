package edge_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// Guards against logs that do not show what stood behind the events of an answer, nor its framing.
func TestLogsNameBytesBehindEvents(t *testing.T) {
	for kind, rest := range map[string]string{"no-event": "no event\n\n", "event-order": "id: 1\ndata: other\n\n"} {
		t.Run(kind, func(t *testing.T) {
			d := start(t, 2)
			for _, engine := range d.engines {
				engine.SetUnframedAnswer(fake.UnframedAnswer{Head: []string{"HTTP/1.1 200 OK"}, Body: twoEvents + rest})
			}
			_, _ = d.send(quoteCall("quote"))
			awaitTrue(t, "line is not written", func() bool { return d.hasLogged("attempt failed") })
			assert.Assert(t, d.hasLogged(`"behind":"`+kind+`"`))
			assert.Assert(t, d.hasLogged(`"behind-events":1`))
			assert.Assert(t, d.hasLogged(`"framing":"connection"`))
			assert.Assert(t, strings.Contains(d.metricsPage(), `"bytes-behind": 1`))
		})
	}
}
