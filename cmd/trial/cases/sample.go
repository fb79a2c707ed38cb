package cases

import (
	"cmp"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
)

type (
	// Sample is one request and its answer.
	Sample struct {
		Rank      spoke.RankName
		Workspace int
		Answer    load.Answer
		// Ended is the time at which the answer was complete or had failed.
		Ended time.Time
	}

	// Samples is a list of the requests of a phase.
	Samples []Sample
)

// Filter returns the matching samples.
func (s Samples) Filter(matches func(Sample) bool) Samples {
	var found Samples
	for _, sample := range s {
		if matches(sample) {
			found = append(found, sample)
		}
	}
	return found
}

// OfRank returns the samples of a rank.
func (s Samples) OfRank(rank spoke.RankName) Samples {
	return s.Filter(func(sample Sample) bool { return sample.Rank == rank })
}

// Served returns the samples with complete and correct answers.
func (s Samples) Served() Samples {
	return s.Filter(func(sample Sample) bool { return sample.Answer.IsServed() })
}

// Refused returns the samples that were refused.
func (s Samples) Refused() Samples {
	return s.Filter(func(sample Sample) bool { return sample.Answer.Refusal != nil })
}

// Failed returns the samples that were neither served nor refused.
func (s Samples) Failed() Samples {
	return s.Filter(func(sample Sample) bool { return sample.Answer.Err != nil })
}

// FirstToken returns a quantile of the time to first token over all samples, in milliseconds.
func (s Samples) FirstToken(quantile float64) float64 {
	return s.quantile(quantile, func(a load.Answer) time.Duration { return a.FirstToken })
}

// RefusalTime returns a quantile of the time to refusal, in milliseconds.
func (s Samples) RefusalTime(quantile float64) float64 {
	return s.Refused().quantile(quantile, func(a load.Answer) time.Duration { return a.Total })
}

// RecomputedShare returns the fraction of the prompt tokens of served samples that were not cached.
func (s Samples) RecomputedShare() float64 {
	var prompt, cached spoke.TokenCount
	for _, sample := range s.Served() {
		prompt += sample.Answer.Usage.Prompt
		cached += sample.Answer.Usage.Cached
	}
	if prompt == 0 {
		return 0
	}
	return float64(prompt-cached) / float64(prompt)
}

// Goodput returns the number of served samples whose time to first token met the target of their rank.
func (s Samples) Goodput(targets map[spoke.RankName]time.Duration) int {
	count := 0
	for _, sample := range s.Served() {
		if sample.Answer.FirstToken <= targets[sample.Rank] {
			count++
		}
	}
	return count
}

func (s Samples) quantile(quantile float64, durationOf func(load.Answer) time.Duration) float64 {
	if len(s) == 0 {
		return 0
	}
	times := make([]time.Duration, 0, len(s))
	for _, sample := range s {
		times = append(times, durationOf(sample.Answer))
	}
	slices.SortFunc(times, cmp.Compare[time.Duration])
	index := min(int(quantile*float64(len(times))), len(times)-1)
	return float64(times[index].Microseconds()) / 1000
}
