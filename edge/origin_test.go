package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
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

// listSoftware sets the software versions of the engines in order, each of which starts anew, and waits until the host
// knows them.
func (d *deployment) listSoftware(versions ...string) {
	d.t.Helper()
	for i, version := range versions {
		d.engines[i].SetSoftware(version)
		d.engines[i].Restart(1)
		d.putEntry(d.engines[i], "ready")
	}
	d.store.Put("op/config", table(2, callerKey))
	awaitTrue(d.t, "entries are not known", func() bool { return d.hasLogged(`"table":2`) })
}

// softwareOf returns the software versions of the engines that began to run a request.
func (d *deployment) softwareOf(id string) map[string]bool {
	versions := make(map[string]bool)
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			if run.ID == id {
				versions[engine.Software()] = true
			}
		}
	}
	return versions
}

// Guards against a stream that goes on, within one answer, at an engine of another software version than the one that
// began it, and against one that is broken off although an engine of its version serves.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for name, versions := range map[string][]string{
		"others of the version": {"v1", "v2", "v3", "v1", "v2", "v3"},
		"none of the version":   {"v1", "v2", "v3"},
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, len(versions))
			d.listSoftware(versions...)
			d.setBehaviour(fake.ResetMidway)
			for i := range 12 {
				id := fmt.Sprint("r-", i)
				got, err := d.send(chatCall(id))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, len(d.softwareOf(id)), 1, "%v", d.softwareOf(id))
				if len(versions) > 3 {
					assert.NilError(t, err)
					assert.Equal(t, got.body, wholeStream)
				} else {
					assert.ErrorContains(t, err, "unexpected EOF")
					assert.Equal(t, got.body, "id: 1\ndata: piece 1\n\n")
				}
			}
		})
	}
}
