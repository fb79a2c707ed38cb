package cases

import (
	"context"
	"errors"
	"time"

	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
)

// beside measures the user's plan, and the same plan with baselines if they are wanted. It
// returns no samples of the baselines otherwise.
func (s *Suite) beside(ctx context.Context, measure func(context.Context, *traffic) ([]Samples, error)) (ours, baselines []Samples, err error) {
	plan := s.User.Plan()
	err = s.within(ctx, plan, func(t *traffic) error {
		ours, err = measure(ctx, t)
		for _, samples := range ours {
			err = errors.Join(err, checkBroken("measured phase", samples))
		}
		return err
	})
	if err != nil || !s.Baselines {
		return ours, nil, err
	}
	// Without refusals the baselines may leave requests to the caller's limit, so that only
	// our own answers have to be whole.
	err = s.within(ctx, plans.Baseline(plan), func(t *traffic) error {
		baselines, err = measure(ctx, t)
		return err
	})
	return ours, baselines, err
}

// phases returns a measurement that sends flows in turn, with a pause between the phases.
func phases(span time.Duration, groups ...[]Flow) func(context.Context, *traffic) ([]Samples, error) {
	return func(ctx context.Context, t *traffic) ([]Samples, error) {
		var measured []Samples
		for i, flows := range groups {
			if i > 0 {
				if err := setup.Wait(ctx, settle); err != nil {
					return nil, err
				}
			}
			measured = append(measured, t.run(ctx, span, flows...))
		}
		return measured, nil
	}
}

// withBaseline adds the figure of the baselines, if they ran, to the text of a row.
func withBaseline(text string, baselines []Samples, figure func([]Samples) string) string {
	if baselines == nil {
		return text
	}
	return text + "; baselines " + figure(baselines)
}
