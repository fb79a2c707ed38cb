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
	// linkRecoveryTime is the time after the end of a link's rate limit within which imports must again be
	// faster than recomputing.
	linkRecoveryTime = 10 * time.Second
	// steadyLoadShare is the load of the fault cases as a fraction of capacity.
	steadyLoadShare = 0.5
)

// storeFaults measures repeated prompts with slow links to the store hosts, after the links have regained
// their full rate, and with the links cut.
func (s *Suite) storeFaults(ctx context.Context) error {
	var slow, unreachable, restored, withoutStores Samples
	plan := s.Installation.Plan()
	err := s.withTraffic(ctx, plan, func(t *trafficGenerator) error {
		prompts := t.newPromptSet()
		if err := checkNoneFailed("first round", t.sendPrompts(ctx, prompts)); err != nil {
			return err
		}
		t.forEachStoreLink(func(link fleet.Link) { link.Limit(spoke.ByteRate(storeLinkRate(plan)) / 10) })
		slow = t.sendPrompts(ctx, prompts)
		t.forEachStoreLink(func(link fleet.Link) { link.Limit(0) })
		if err := setup.Sleep(ctx, linkRecoveryTime); err != nil {
			return err
		}
		restored = t.sendPrompts(ctx, prompts)
		t.forEachStoreLink(fleet.Link.Cut)
		unreachable = t.sendPrompts(ctx, prompts)
		return checkNoneFailed("store faults", append(append(slow, unreachable...), restored...))
	})
	if err != nil {
		return err
	}
	if err := s.withTraffic(ctx, plans.WithoutStores(plan), func(t *trafficGenerator) error { return t.sendTwice(ctx, &withoutStores) }); err != nil {
		return err
	}
	baseline := withoutStores.FirstToken(0.5)
	s.addRow("store-faults", "slow link first token p50 to recomputing", slow.FirstToken(0.5)/baseline, AtMost, 1.1, formatMilliseconds(slow.FirstToken(0.5)), formatMilliseconds(baseline))
	s.addRow("store-faults", "dead store first token p50 to recomputing", unreachable.FirstToken(0.5)/baseline, AtMost, 1.1, formatMilliseconds(unreachable.FirstToken(0.5)), formatMilliseconds(baseline))
	s.addRow("store-faults", "first token p50 10 s after return to recomputing", restored.FirstToken(0.5)/baseline, AtMost, 0.5, formatMilliseconds(restored.FirstToken(0.5)), formatMilliseconds(baseline))
	return nil
}

func storeLinkRate(plan fleet.Plan) spoke.ByteRate { return plan.DataCentres[0].Stores[0].LinkRate }

func (t *trafficGenerator) forEachStoreLink(apply func(fleet.Link)) {
	for _, centre := range t.session.Fleet.Plan().DataCentres {
		for _, store := range centre.Stores {
			if link, err := t.session.Fleet.LinkFrom(string(store.ID), ""); err == nil {
				apply(link)
			}
		}
	}
}

// platformOut compares repeatable requests before and during a platform outage.
func (s *Suite) platformOut(ctx context.Context) error {
	flow := smallFlow(plans.RankNormal, 0, steadyLoadShare*s.capacity())
	return s.withTraffic(ctx, s.Installation.Plan(), func(t *trafficGenerator) error {
		before := t.run(ctx, phaseDuration, flow)
		if err := t.setPlatformFaults(ctx, `{"outage":"refuse"}`); err != nil {
			return err
		}
		during := t.run(ctx, phaseDuration, flow)
		if err := checkNoneFailed("platform out", during); err != nil {
			return err
		}
		p50During, p50Before := during.FirstToken(0.5), before.FirstToken(0.5)
		s.addRow("platform-out", "first token p50 to that before", p50During/p50Before, AtMost, 1.1, formatMilliseconds(p50During), formatMilliseconds(p50Before))
		servedDuring, servedBefore := share(len(during.Served()), len(during)), share(len(before.Served()), len(before))
		s.addRow("platform-out", "served share to that before", servedDuring/servedBefore, AtLeast, 0.99,
			fmt.Sprintf("%d of %d", len(during.Served()), len(during)), fmt.Sprintf("%d of %d", len(before.Served()), len(before)))
		return nil
	})
}

// setPlatformFaults configures fault injection in the platform stand-in.
func (t *trafficGenerator) setPlatformFaults(ctx context.Context, faults string) error {
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
