package cases

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
)

const (
	// linkRecovery is the time after a link's return within which imports must pay again.
	linkRecovery = 10 * time.Second
	steadyShare  = 0.5
)

// storeFaults measures returning prompts with slow links and with dead store hosts.
func (s *Suite) storeFaults(ctx context.Context) error {
	var slow, dead, back, without Samples
	plan := s.User.Plan()
	err := s.within(ctx, plan, func(t *traffic) error {
		prompts := t.fixedPrompts()
		if err := checkBroken("first round", t.inTurn(ctx, prompts)); err != nil {
			return err
		}
		t.eachStore(func(link fleet.Link) { link.Limit(spoke.ByteRate(storeRate(plan)) / 10) })
		slow = t.inTurn(ctx, prompts)
		t.eachStore(func(link fleet.Link) { link.Limit(0) })
		if err := setup.Wait(ctx, linkRecovery); err != nil {
			return err
		}
		back = t.inTurn(ctx, prompts)
		t.eachStore(fleet.Link.Cut)
		dead = t.inTurn(ctx, prompts)
		return checkBroken("store faults", append(append(slow, dead...), back...))
	})
	if err != nil {
		return err
	}
	if err := s.within(ctx, plans.WithoutStores(plan), func(t *traffic) error { return t.comeBack(ctx, &without) }); err != nil {
		return err
	}
	base := without.FirstToken(0.5)
	s.add("store-faults", "slow link first token p50 to recomputing", slow.FirstToken(0.5)/base, AtMost, 1.1, inMilliseconds(slow.FirstToken(0.5)), inMilliseconds(base))
	s.add("store-faults", "dead store first token p50 to recomputing", dead.FirstToken(0.5)/base, AtMost, 1.1, inMilliseconds(dead.FirstToken(0.5)), inMilliseconds(base))
	s.add("store-faults", "first token p50 10 s after return to recomputing", back.FirstToken(0.5)/base, AtMost, 0.5, inMilliseconds(back.FirstToken(0.5)), inMilliseconds(base))
	return nil
}

func storeRate(plan fleet.Plan) spoke.ByteRate { return plan.DataCentres[0].Stores[0].LinkRate }

func (t *traffic) eachStore(apply func(fleet.Link)) {
	for _, centre := range t.session.Fleet.Plan().DataCentres {
		for _, store := range centre.Stores {
			if link, err := t.session.Fleet.LinkFrom(string(store.ID), ""); err == nil {
				apply(link)
			}
		}
	}
}

// platformOut compares repeatable work with and without the platform.
func (s *Suite) platformOut(ctx context.Context) error {
	flow := small(plans.RankNormal, 0, steadyShare*s.capacity())
	return s.within(ctx, s.User.Plan(), func(t *traffic) error {
		with := t.run(ctx, phase, flow)
		if err := t.setPlatform(ctx, `{"outage":"refuse"}`); err != nil {
			return err
		}
		without := t.run(ctx, phase, flow)
		if err := checkBroken("platform out", without); err != nil {
			return err
		}
		ours, base := without.FirstToken(0.5), with.FirstToken(0.5)
		s.add("platform-out", "first token p50 to that before", ours/base, AtMost, 1.1, inMilliseconds(ours), inMilliseconds(base))
		served, before := share(len(without.Served()), len(without)), share(len(with.Served()), len(with))
		s.add("platform-out", "served share to that before", served/before, AtLeast, 0.99,
			fmt.Sprintf("%d of %d", len(without.Served()), len(without)), fmt.Sprintf("%d of %d", len(with.Served()), len(with)))
		return nil
	})
}

// setPlatform sets the faults of the platform's stand-in.
func (t *traffic) setPlatform(ctx context.Context, faults string) error {
	process, err := t.session.Fleet.Process(fleet.PlatformName)
	if err != nil {
		return err
	}
	url := "http://" + string(process.Address(ready.Service)) + "/faults"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(faults))
	if err != nil {
		return eris.Wrap(err, "platform faults")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "platform faults")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("platform faults: status %d", resp.StatusCode)
	}
	return nil
}
