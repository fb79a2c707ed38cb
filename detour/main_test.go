package detour_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that closed tunnels leak.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
