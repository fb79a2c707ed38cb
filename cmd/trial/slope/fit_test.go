package slope_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/cmd/trial/slope"
)

// Guards against a wrong extrapolation from points on a line, and against a MaxResidual that
// does not show how far points are from the fitted line.
func TestFitExtrapolatesAndReportsMaxResidual(t *testing.T) {
	straight := slope.Fit([]slope.Point{{Size: 1, Cost: 5}, {Size: 2, Cost: 7}, {Size: 4, Cost: 11}})
	assert.Assert(t, math.Abs(straight.At(100)-203) < 1e-9)
	assert.Assert(t, straight.MaxResidual < 1e-9)

	nonlinear := slope.Fit([]slope.Point{{Size: 1, Cost: 0}, {Size: 2, Cost: 3}, {Size: 3, Cost: 0}})
	assert.Assert(t, math.Abs(nonlinear.MaxResidual-2) < 1e-9)
}
