package cases

import (
	"context"
	"errors"
	"time"

	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
)

// measureWithBaselines measures the installation's plan and, if s.Baselines is set, the same plan with
// the baseline policies; otherwise baselines is nil.
func (s *Suite) measureWithBaselines(ctx context.Context, measure func(context.Context, *trafficGenerator) ([]Samples, error)) (measured, baselines []Samples, err error) {
	plan := s.Installation.Plan()
	err = s.withTraffic(ctx, plan, func(t *trafficGenerator) error {
		measured, err = measure(ctx, t)
		for _, samples := range measured {
			err = errors.Join(err, checkNoneFailed("measured phase", samples))
		}
		return err
	})
	if err != nil || !s.Baselines {
		return measured, nil, err
	}
	// The baselines refuse no requests, so that some may run into the caller's timeout. Failed requests
	// are therefore an error only in the measurement of the system's own policies.
	err = s.withTraffic(ctx, plans.WithBaselines(plan), func(t *trafficGenerator) error {
		baselines, err = measure(ctx, t)
		return err
	})
	return measured, baselines, err
}

// phases returns a measurement that sends each group of flows for the given time, with a pause between groups.
func phases(span time.Duration, groups ...[]Flow) func(context.Context, *trafficGenerator) ([]Samples, error) {
	return func(ctx context.Context, t *trafficGenerator) ([]Samples, error) {
		var measured []Samples
		for i, flows := range groups {
			if i > 0 {
				if err := setup.Sleep(ctx, settleTime); err != nil {
					return nil, err
				}
			}
			measured = append(measured, t.run(ctx, span, flows...))
		}
		return measured, nil
	}
}

// withBaseline appends the formatted result of the baselines, if they were measured, to the text of a row.
func withBaseline(text string, baselines []Samples, format func([]Samples) string) string {
	if baselines == nil {
		return text
	}
	return text + "; baselines " + format(baselines)
}
