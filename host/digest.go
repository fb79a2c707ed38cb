package host

import (
	"context"
	"reflect"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
)

const (
	// digestPeriod is the period at which the host's own digest is collected.
	digestPeriod = 250 * time.Millisecond
	// digestMaxAge is the age at which an unchanged digest is published again, so that peers can
	// distinguish current loads from stale ones.
	digestMaxAge = 5 * time.Second
)

type (
	// digestTask collects the host's own digest and publishes it when it changes.
	digestTask struct {
		manifest  spoke.ManifestSource
		admission *admissionTask
		pollers   *pollerTask
		members   *memberTask
		marks     func(now time.Time) []spoke.QuarantineMark
		leaving   func() []spoke.UpstreamID
		paused    func() map[spoke.UpstreamID]time.Time
		timer     spoke.Timer
		last      spoke.Digest
		lastSet   time.Time
	}
)

func (t *digestTask) run(ctx context.Context) error {
	ticks := t.timer.Every(digestPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			t.refresh(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *digestTask) refresh(ctx context.Context) {
	now := t.timer.Now()
	digest := t.collect(ctx, now)
	if isSameDigest(digest, t.last) && now.Sub(t.lastSet) < digestMaxAge {
		return
	}
	t.last, t.lastSet = digest, now
	_ = t.members.post(ctx, memberRequest{message: member.SetDigest{Digest: digest}})
}

func (t *digestTask) collect(ctx context.Context, now time.Time) spoke.Digest {
	digest := spoke.Digest{Marks: t.marks(now), Leaving: t.leaving(), Paused: t.paused()}
	if manifest := t.manifest.Current(); manifest != nil {
		digest.Number = manifest.Number
	}
	digest.Loads = t.admission.Summaries(ctx, t.pollers.Owned())
	for id, load := range digest.Loads {
		if status, ok := t.pollers.Status(id); ok {
			status.applyTo(&load)
			digest.Loads[id] = load
			if load.Draining && !slices.Contains(digest.Leaving, id) {
				digest.Leaving = append(digest.Leaving, id)
			}
		}
	}
	slices.Sort(digest.Leaving)
	return digest
}

// isSameDigest compares digests without the times of the loads, which change on each collection.
func isSameDigest(a, b spoke.Digest) bool {
	return reflect.DeepEqual(withoutTimes(a), withoutTimes(b))
}

func withoutTimes(d spoke.Digest) spoke.Digest {
	loads := make(map[spoke.UpstreamID]spoke.LoadSummary, len(d.Loads))
	for id, load := range d.Loads {
		load.AsOf = time.Time{}
		loads[id] = load
	}
	d.Loads = loads
	return d
}
