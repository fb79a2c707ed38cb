package detour_test

import (
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that closed tunnels leak. With the address of an upstream in its environment, the
// process is a relaying host instead.
func TestMain(m *testing.M) {
	if upstream := os.Getenv(relayVariable); upstream != "" {
		os.Exit(relayUntilInputEnds(upstream))
	}
	goleak.VerifyTestMain(m)
}
