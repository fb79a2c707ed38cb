package host_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/sched"
)

type (
	// clockedEngine reports its load with the time of its own clock.
	clockedEngine struct {
		scriptedEngine
		mu       sync.Mutex
		offset   time.Duration
		draining bool
	}

	// lockedAdmission is an admission that tests may ask while a host runs it.
	lockedAdmission struct {
		mu sync.Mutex
		*sched.Admission
	}
)

func (e *clockedEngine) Load(context.Context, spoke.Address) (spoke.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return spoke.LoadReport{Draining: e.draining, AsOf: time.Now().Add(e.offset)}, nil
}

func (e *clockedEngine) set(offset time.Duration, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offset, e.draining = offset, draining
}

func (a *lockedAdmission) Handle(now time.Time, message spoke.AdmissionMessage) []spoke.AdmissionAction {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Admission.Handle(now, message)
}

// isDraining reports whether the only upstream counts as leaving.
func (a *lockedAdmission) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Summary(time.Now(), "u1").Draining
}

// Guards against reports of an engine that are left out as older ones, its announcement that it leaves among them,
// since its clock was set back.
func TestReportsCountAfterEngineClockIsSetBack(t *testing.T) {
	manifest := new(manifestSource).apply(
		spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage},
		spoke.Upstream{ID: "u1", Service: "quotes", DataCentre: "dc1", Address: "engine"},
	)
	engine, admission := &clockedEngine{offset: time.Hour}, &lockedAdmission{Admission: sched.NewAdmission()}
	withAdmission(t, manifest, admission, engine, func(t *testing.T, _ host.PollerTask) {
		sleep(time.Second)
		assert.Assert(t, !admission.isDraining())
		engine.set(0, true)
		sleep(time.Second)
		assert.Assert(t, admission.isDraining())
		engine.set(-600*time.Millisecond, false)
		sleep(300 * time.Millisecond)
		assert.Assert(t, admission.isDraining(), "a report older than the last one counted")
		sleep(time.Second)
		assert.Assert(t, !admission.isDraining())
	})
}
