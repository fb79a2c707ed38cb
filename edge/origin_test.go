package edge_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// resumeCall returns a call that resumes a stream behind its first event.
func resumeCall(id, resumes string) call {
	resumed := chatCall(id)
	resumed.header = http.Header{"Last-Event-Id": {"1"}, "Resumes": {resumes}}
	return resumed
}

// Guards against logs that do not show at which software version a stream began and goes on.
func TestSoftwareVersionsOfStreamsAreLogged(t *testing.T) {
	d := start(t, 1)
	got, err := d.send(resumeCall("second", "first"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	awaitTrue(t, "resumption is not logged", func() bool { return d.hasLogged(`"last-event-id":"1"`) && d.hasLogged(`"resumes":"first"`) })
	awaitTrue(t, "software version is not logged", func() bool { return d.hasLogged(`"software":"v1"`) })
}
