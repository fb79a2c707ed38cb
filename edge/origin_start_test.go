package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
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
