package relay_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that a closed relay leaks.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
