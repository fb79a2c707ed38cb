package edge_test

import (
	"testing"
	"time"

	"magnoliaspoke.example/spoke/config"
)

// Guards against recalls that leave no line by which a call, its upstream and the silence of that can be told.
func TestRecallIsLogged(t *testing.T) {
	const limit = time.Second
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply, settings.OrdersPause = limit, time.Minute })
	answered := d.holdCall("recalled")
	assertRecalled(t, answered, d.nameWeights(), limit)
	for _, text := range []string{`"call recalled"`, `"sent-for":`, `"upstream-silent":`, `"weights":1`} {
		awaitTrue(t, text+" not logged", func() bool { return d.hasLogged(text) })
	}
}
