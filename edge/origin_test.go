package edge_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"

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

// Guards against a stream whose engine falls silent behind its first event and that goes on at another software
// version, since the request for another engine names none.
func TestSilentStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for name, versions := range map[string][]string{
		"another of the version": {"v1", "v2", "v1", "v2"},
		"none of the version":    {"v1", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, len(versions))
			d.listSoftware(versions...)
			for _, engine := range d.engines {
				engine.SetStall(fake.Stall{After: 1, For: 2500 * time.Millisecond})
			}
			await := background(func() (answer, error) { return d.send(chatCall("a")) })
			awaitTrue(t, "stream not begun", func() bool { return d.hasLogged("stream began") })
			for _, engine := range d.engines {
				if len(engine.Runs()) == 0 {
					engine.SetStall(fake.Stall{})
				}
			}
			got, err := await()
			assert.NilError(t, err)
			assert.Equal(t, got.body, wholeStream)
			assert.Equal(t, len(d.softwareOf("a")), 1, "%v", d.softwareOf("a"))
		})
	}
}

// begin starts a stream, reads its first event and closes the connection. It returns the engine's software version.
func (d *deployment) begin(sent call) string {
	d.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if sent.header == nil {
		sent.header = http.Header{}
	}
	// Prompts with different shared parts prefer different engines.
	shared := strconv.FormatUint(xxhash.Sum64String(sent.id), 16)
	sent.header.Set("Magnoliaspoke-Prefix-Hash", shared+":250,"+shared+"0:50")
	response, err := client.Do(d.request(sent))
	assert.NilError(d.t, err)
	defer response.Body.Close()
	assert.Equal(d.t, response.StatusCode, http.StatusOK)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(d.t, err)
	for version := range d.softwareOf(sent.id) {
		return version
	}
	d.t.Fatal("no engine has begun the stream")
	return ""
}

// assertGoesOn takes a stream up and fails the test unless it goes on at a software version.
func (d *deployment) assertGoesOn(id, resumes, software string) {
	d.t.Helper()
	got, err := d.send(resumeCall(id, resumes))
	assert.NilError(d.t, err)
	assert.Equal(d.t, got.status, http.StatusOK, "%s at %s: %s", id, d.settings.Host, got.body)
	assert.DeepEqual(d.t, d.softwareOf(id), map[string]bool{software: true})
}

// assertRefused takes a stream up and fails the test unless the call is refused at once, for a reason, and not run.
func (d *deployment) assertRefused(id, resumes, reason string) {
	d.t.Helper()
	begun := time.Now()
	got, err := d.send(resumeCall(id, resumes))
	assert.NilError(d.t, err)
	assert.Equal(d.t, got.status, http.StatusServiceUnavailable, id)
	assert.Assert(d.t, time.Since(begun) < time.Second)
	assert.Assert(d.t, got.header.Get("Retry-After") != "")
	var body struct {
		Error struct{ Code, Outcome string }
	}
	assert.NilError(d.t, json.Unmarshal([]byte(got.body), &body), got.body)
	assert.Equal(d.t, body.Error.Code+" "+body.Error.Outcome, reason+" not-run")
	assert.Equal(d.t, len(d.softwareOf(id)), 0)
}

// startSoftware starts hosts in three data centres, with links that can be cut, whose engines have the given software
// versions and are slow enough for callers to break streams off. It waits until the hosts know them.
func startSoftware(t *testing.T, hostCount int, versions ...string) []linkedHost {
	t.Helper()
	hosts := startLinked(t, hostCount, len(versions))
	hosts[0].setVersions(hosts, versions...)
	return hosts
}

// setVersions gives the engines, each of which starts anew, software versions and waits until all hosts know them.
func (h linkedHost) setVersions(hosts []linkedHost, versions ...string) {
	h.t.Helper()
	for i, version := range versions {
		h.setEntry(h.engines[i], version)
	}
	for _, host := range hosts {
		awaitTrue(h.t, "versions are not known", func() bool { return host.hasLogged("may have begun at several software versions") })
	}
}

const takenUp = 12

// Guards against streams that go on at another software version when their callers take them up, at any host, and
// against those that do not go on although their version is known somewhere: at the host that began them, or, if that
// has stopped or cannot be reached, at one of two that it has told.
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for name, lose := range map[string]func(hosts []linkedHost) []linkedHost{
		"none lost":            func(hosts []linkedHost) []linkedHost { return hosts },
		"first host stopped":   func(hosts []linkedHost) []linkedHost { return stopFirst(t, hosts) },
		"first host cut off":   func(hosts []linkedHost) []linkedHost { hosts[0].cut(); return hosts[1:] },
		"other host cut off":   func(hosts []linkedHost) []linkedHost { hosts[4].cut(); return hosts[1:4] },
		"first and other lost": func(hosts []linkedHost) []linkedHost { hosts[5].cut(); return stopFirst(t, hosts)[:4] },
	} {
		t.Run(name, func(t *testing.T) {
			hosts := startSoftware(t, 6, "v1", "v2", "v1", "v2", "v3", "v3")
			began := make([]string, takenUp)
			for i := range began {
				began[i] = hosts[0].begin(chatCall(fmt.Sprint("r-", i)))
			}
			left := lose(hosts)
			for i, software := range began {
				left[i%len(left)].assertGoesOn(fmt.Sprint("r-", i, "-again"), fmt.Sprint("r-", i), software)
			}
		})
	}
}

// stopFirst stops the first host in order and returns the others.
func stopFirst(t *testing.T, hosts []linkedHost) []linkedHost {
	t.Helper()
	hosts[0].signals <- syscall.SIGTERM
	assert.NilError(t, <-hosts[0].ended)
	return hosts[1:]
}

// Guards against a stream that is taken up several times, of which no host knows any more at which version it began.
func TestChainOfTakenUpStreamsKeepsItsSoftwareVersion(t *testing.T) {
	hosts := startSoftware(t, 6, "v1", "v2", "v1", "v2")
	for i := range takenUp {
		first := fmt.Sprint("r-", i)
		software := hosts[0].begin(chatCall(first))
		for j, host := range hosts[1:] {
			second := fmt.Sprint(first, "-", j)
			assert.Equal(t, host.begin(resumeCall(second, first)), software)
		}
	}
	assert.Assert(t, hosts[0].originMessages() > 0)
}

// Guards against a mixed stream, a call that waits or an untrue status when the version of a stream is not known, or
// no engine of it is left.
func TestTakenUpStreamWithoutItsSoftwareVersionIsRefused(t *testing.T) {
	hosts := startSoftware(t, 3, "v1", "v2", "v2")
	host := hosts[1]
	host.assertRefused("a", "unheard-of", "software-version-unknown")
	host.assertRefused("b", "", "software-version-unknown")
	var first string
	for i := 0; first == "" && i < 100; i++ {
		if id := fmt.Sprint("r-", i); hosts[0].begin(chatCall(id)) == "v1" {
			first = id
		}
	}
	host.store.Remove("servers/" + host.engines[0].ID)
	for _, other := range hosts {
		awaitTrue(t, "engine is not removed", func() bool { return other.hasLogged("upstream is gone") })
	}
	host.assertRefused("c", first, "software-version")
	hosts[0].assertRefused("d", first, "software-version")
	// A new stream begins meanwhile.
	host.begin(chatCall("e"))
}

// Guards against messages between hosts, and refusals, while all engines have one software version and hosts know, a
// second or two after their start, that they have had no other.
func TestOneSoftwareVersionCostsNothing(t *testing.T) {
	hosts := startLinked(t, 3, 3)
	for _, host := range hosts {
		awaitTrue(t, "earlier versions are not known", func() bool { return host.hasLogged("software versions of earlier streams are known") })
	}
	for i := range takenUp {
		host := hosts[i%len(hosts)]
		first := fmt.Sprint("r-", i)
		host.begin(chatCall(first))
		hosts[(i+1)%len(hosts)].assertGoesOn(first+"-again", first, "v1")
		host.assertGoesOn(first+"-unnamed", "", "v1")
	}
	for _, host := range hosts {
		assert.Equal(t, host.originMessages(), 0)
	}
}

// Guards against streams that began while one version served and of which other hosts are never told, so that they do
// not go on, or go on mixed, once there are two and their host is lost.
func TestStreamsBegunBeforeSecondVersionGoOn(t *testing.T) {
	hosts := startLinked(t, 4, 4)
	for i := range takenUp {
		assert.Equal(t, hosts[0].begin(chatCall(fmt.Sprint("r-", i))), "v1")
	}
	hosts[0].listSpares("v2")
	for _, host := range hosts {
		awaitTrue(t, "versions are not known", func() bool { return host.hasLogged("may have begun at several software versions") })
	}
	awaitTrue(t, "others are not told", func() bool { return hosts[0].originMessages() > 0 })
	hosts[0].cut()
	for i := range takenUp {
		first := fmt.Sprint("r-", i)
		tries := 0
		awaitTrue(t, "stream does not go on", func() bool {
			tries++
			id := fmt.Sprint(first, "-", tries)
			got, err := hosts[1+i%3].send(resumeCall(id, first))
			assert.NilError(t, err)
			assert.Assert(t, !hosts[0].softwareOf(id)["v2"])
			return got.status == http.StatusOK
		})
	}
}

// Guards against mixed streams at hosts of a data centre that has no news of the directory, nor of other hosts, and
// knows only of the version before; and against streams that do not go on elsewhere, or within it, meanwhile.
func TestDataCentreCutOffMixesNoStream(t *testing.T) {
	hosts := startLinked(t, 9, 4)
	inside, outside := byDataCentre(hosts, "c")
	for _, host := range inside {
		host.cutOff()
	}
	hosts[0].listSpares("v2")
	for _, engine := range hosts[0].engines[:4] {
		hosts[0].store.Remove("servers/" + engine.ID)
	}
	for _, host := range outside {
		awaitTrue(t, "versions are not known", func() bool {
			return host.hasLogged("may have begun at several software versions") && host.hasLogged("upstream is gone")
		})
	}
	for _, host := range inside {
		awaitTrue(t, "loss is not noticed", func() bool {
			return host.bookingStatus("x-"+string(host.settings.Host), "other") == http.StatusServiceUnavailable
		})
	}
	for i := range takenUp {
		first := fmt.Sprint("r-", i)
		software := outside[i%len(outside)].begin(chatCall(first))
		assert.Equal(t, software, "v2")
		inside[i%len(inside)].assertRefused(first+"-in", first, "software-version-unknown")
		outside[(i+1)%len(outside)].assertGoesOn(first+"-out", first, software)
	}
	for i := range takenUp {
		first := fmt.Sprint("q-", i)
		software := inside[i%len(inside)].begin(chatCall(first))
		inside[(i+1)%len(inside)].assertGoesOn(first+"-in", first, software)
		outside[i%len(outside)].assertRefused(first+"-out", first, "software-version-unknown")
	}
}

func byDataCentre(hosts []linkedHost, dataCentre spoke.DataCentreID) (inside, outside []linkedHost) {
	for _, host := range hosts {
		if host.settings.DataCentre == dataCentre {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	return inside, outside
}
