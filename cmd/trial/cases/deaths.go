package cases

import (
	"context"
	"fmt"
	"time"

	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
)

// recovery is the time after a death within which goodput must be back.
const recovery = 5 * time.Second

// engineDies measures goodput before and after the death of one engine.
func (s *Suite) engineDies(ctx context.Context) error {
	lost := 1 / float64(s.User.Engines)
	return s.dies(ctx, "engine-dies", lost, func(t *traffic) error {
		return t.kill("dc1-engine1")
	})
}

// hostDies measures goodput before and after the death of one entry host; its
// callers are taken to other hosts, as a load balancer does.
func (s *Suite) hostDies(ctx context.Context) error {
	hosts := 0
	for _, count := range s.User.Hosts {
		hosts += count
	}
	return s.dies(ctx, "host-dies", 1/float64(hosts), func(t *traffic) error {
		t.setCallers(t.callers[1:])
		return t.kill("dc1-entry1")
	})
}

func (t *traffic) kill(name string) error {
	process, err := t.session.Fleet.Process(name)
	if err != nil {
		return err
	}
	process.Kill()
	return nil
}

// dies kills a process in the middle of one continuous flow, with requests in flight, and compares
// the goodput of the seconds after the death, and of those after the recovery time, with that before.
func (s *Suite) dies(ctx context.Context, name string, lost float64, kill func(*traffic) error) error {
	flow := small(plans.RankNormal, 0, steadyShare*s.capacity())
	return s.within(ctx, s.User.Plan(), func(t *traffic) error {
		death, result := make(chan time.Time, 1), make(chan error, 1)
		go func() {
			if err := setup.Wait(ctx, recovery); err != nil {
				result <- err
				return
			}
			death <- time.Now()
			result <- kill(t)
		}()
		samples := t.run(ctx, 3*recovery, flow)
		if err := <-result; err != nil {
			return err
		}
		before, during, after := samples.Around(<-death)
		whole := share(before.Goodput(targets()), len(before))
		early, late := share(during.Goodput(targets()), len(during)), share(after.Goodput(targets()), len(after))
		s.add(name, "goodput in the 5 s after", early/whole, AtLeast, 1-lost-0.05,
			fmt.Sprintf("%.1f%% of %d, %d broken", 100*early, len(during), len(during.Broken())), fmt.Sprintf("before %.1f%%", 100*whole))
		s.add(name, "goodput from 5 s to 10 s after", late/whole, AtLeast, 0.99,
			fmt.Sprintf("%.1f%% of %d", 100*late, len(after)), fmt.Sprintf("before %.1f%%", 100*whole))
		return nil
	})
}

// Around divides samples by a death: those that ended before it, those in flight at it or sent
// within the recovery time, and the later ones.
func (s Samples) Around(death time.Time) (before, during, after Samples) {
	for _, sample := range s {
		sent := sample.Answer.Sent
		switch {
		case !sample.Ended.After(death):
			before = append(before, sample)
		case sent.Before(death.Add(recovery)):
			during = append(during, sample)
		default:
			after = append(after, sample)
		}
	}
	return before, during, after
}
