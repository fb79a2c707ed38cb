package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/platform"
)

// Guards against mixed streams after hosts that were killed have started together, when the version that began them has
// gone and no host knows of it, and against streams begun since that do not go on.
func TestHostsStartedTogetherMixNoStream(t *testing.T) {
	hosts := startLinked(t, 3, 3, "host-1", "host-2", "host-3")
	for i := range takenUp {
		first := fmt.Sprint("r-", i)
		hosts[i%3].assertRefused(first+"-before", first+"-lost", "software-version-unknown")
		hosts[i%3].begin(chatCall(first))
		hosts[(i+1)%3].assertGoesOn(first+"-again", first, "v1")
	}
}

// Guards against streams that go on nowhere after all hosts were killed at once, though each engine has the version that
// began them, and against mixed ones if another version served shortly before.
func TestStreamsGoOnAfterAllHostsWereKilled(t *testing.T) {
	for name, versions := range map[string][]string{"one version": {"v1"}, "another served before": {"v1", "v2"}} {
		t.Run(name, func(t *testing.T) {
			entry := map[string]any{"data-centre": "a", "software": map[string][]string{"models": versions}}
			hosts := startLinkedAfter(t, 3, 3, entry, "host-1", "host-2", "host-3")
			for i := range takenUp {
				first := fmt.Sprint("r-", i)
				if len(versions) == 1 {
					hosts[i%3].assertGoesOn(first+"-again", first, "v1")
				} else {
					hosts[i%3].assertRefused(first+"-again", first, "software-version-unknown")
				}
			}
		})
	}
}

// Guards against software versions that no host records for those that start after all have ended, or records too late.
func TestSoftwareVersionsAreRecorded(t *testing.T) {
	hosts := startLinked(t, 3, 3)
	directory := platform.NewStore(spoke.Address(hosts[0].store.Address()), time.Now)
	isRecorded := func(version spoke.SoftwareVersion) bool {
		listed, err := directory.Read(t.Context())
		return err == nil && slices.Contains(listed.RecordedSoftware, spoke.ListedSoftware{Service: "models", Software: version})
	}
	awaitTrue(t, "the only version is not recorded", func() bool { return isRecorded("v1") })
	hosts[0].listSpares("v3")
	awaitTrue(t, "the second version is not recorded", func() bool { return isRecorded("v3") && isRecorded("v1") })
}

// Guards against streams that begin at a new version and go on at the one before, at hosts of a data centre that has just
// been cut off and have not missed the news of the directory yet.
func TestNewVersionIsNotMixedBeforeACutIsNoticed(t *testing.T) {
	hosts := startLinked(t, 9, 4)
	for _, host := range hosts {
		awaitTrue(t, "earlier versions are not known", func() bool { return host.hasLogged("software versions of earlier streams are known") })
	}
	inside, outside := byDataCentre(hosts, "c")
	for _, host := range inside {
		host.cutOff()
	}
	hosts[0].listSpares("v2")
	tries, isNewUsed := 0, false
	awaitTrue(t, "the new version gets no stream", func() bool {
		tries++
		first := fmt.Sprint("r-", tries)
		again := first + "-again"
		software := outside[tries%len(outside)].begin(chatCall(first))
		isNewUsed = isNewUsed || software == "v2"
		got, err := inside[tries%len(inside)].send(resumeCall(again, first))
		assert.NilError(t, err)
		assert.Assert(t, got.status != http.StatusOK || hosts[0].softwareOf(again)[software], "%s begun at %s goes on at %v", first, software, hosts[0].softwareOf(again))
		return isNewUsed && got.status == http.StatusServiceUnavailable
	})
}
