package edge_test

import (
	"fmt"
	"testing"
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
