package cases

import (
	"context"
	"fmt"
	"time"

	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
)

// recoveryTime is the time after a crash within which goodput must recover.
const recoveryTime = 5 * time.Second

// engineCrash measures goodput before and after one engine is killed.
func (s *Suite) engineCrash(ctx context.Context) error {
	lostCapacity := 1 / float64(s.Installation.Engines)
	return s.measureCrash(ctx, "engine-dies", lostCapacity, func(t *trafficGenerator) error {
		return t.kill("dc1-engine1")
	})
}

// hostCrash measures goodput before and after one entry host is killed; later requests
// go to the other hosts, as a load balancer would route them.
func (s *Suite) hostCrash(ctx context.Context) error {
	hosts := 0
	for _, count := range s.Installation.HostsPerCentre {
		hosts += count
	}
	return s.measureCrash(ctx, "host-dies", 1/float64(hosts), func(t *trafficGenerator) error {
		t.setCallers(t.callers[1:])
		return t.kill("dc1-entry1")
	})
}

func (t *trafficGenerator) kill(name string) error {
	process, err := t.session.Fleet.Process(name)
	if err != nil {
		return err
	}
	process.Kill()
	return nil
}

// measureCrash kills a process during a continuous flow, with requests in flight. It compares the goodput
// before the crash with that within the recovery time and with that after it.
func (s *Suite) measureCrash(ctx context.Context, name string, lostCapacity float64, kill func(*trafficGenerator) error) error {
	flow := smallFlow(plans.RankNormal, 0, steadyLoadShare*s.capacity())
	return s.withTraffic(ctx, s.Installation.Plan(), func(t *trafficGenerator) error {
		crashed, result := make(chan time.Time, 1), make(chan error, 1)
		go func() {
			if err := setup.Sleep(ctx, recoveryTime); err != nil {
				result <- err
				return
			}
			crashed <- time.Now()
			result <- kill(t)
		}()
		samples := t.run(ctx, 3*recoveryTime, flow)
		if err := <-result; err != nil {
			return err
		}
		before, during, after := samples.SplitAtCrash(<-crashed)
		shareBefore := share(before.Goodput(firstTokenTargets()), len(before))
		shareDuring, shareAfter := share(during.Goodput(firstTokenTargets()), len(during)), share(after.Goodput(firstTokenTargets()), len(after))
		s.addRow(name, "goodput in the 5 s after", shareDuring/shareBefore, AtLeast, 1-lostCapacity-0.05,
			fmt.Sprintf("%.1f%% of %d, %d broken", 100*shareDuring, len(during), len(during.Failed())), fmt.Sprintf("before %.1f%%", 100*shareBefore))
		s.addRow(name, "goodput from 5 s to 10 s after", shareAfter/shareBefore, AtLeast, 0.99,
			fmt.Sprintf("%.1f%% of %d", 100*shareAfter, len(after)), fmt.Sprintf("before %.1f%%", 100*shareBefore))
		return nil
	})
}

// SplitAtCrash divides samples into those that ended before a crash, those in flight at the crash or
// sent within the recovery time, and later ones.
func (s Samples) SplitAtCrash(crashed time.Time) (before, during, after Samples) {
	for _, sample := range s {
		sent := sample.Answer.Sent
		switch {
		case !sample.Ended.After(crashed):
			before = append(before, sample)
		case sent.Before(crashed.Add(recoveryTime)):
			during = append(during, sample)
		default:
			after = append(after, sample)
		}
	}
	return before, during, after
}
