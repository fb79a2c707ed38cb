package cases

import (
	"cmp"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
)

type (
	// Sample is one request of a case with its answer.
	Sample struct {
		Rank      spoke.RankName
		Workspace int
		Answer    load.Answer
		// Ended is when the caller had the answer or its failure.
		Ended time.Time
	}

	// Samples are the requests of a phase.
	Samples []Sample
)

// Where returns the samples that match.
func (s Samples) Where(matches func(Sample) bool) Samples {
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
	return s.Where(func(sample Sample) bool { return sample.Rank == rank })
}

// Served returns the samples with whole and right answers.
func (s Samples) Served() Samples {
	return s.Where(func(sample Sample) bool { return sample.Answer.IsServed() })
}

// Refused returns the samples that were refused.
func (s Samples) Refused() Samples {
	return s.Where(func(sample Sample) bool { return sample.Answer.Refusal != nil })
}

// Broken returns the samples that are neither served nor refused.
func (s Samples) Broken() Samples {
	return s.Where(func(sample Sample) bool { return sample.Answer.Err != nil })
}

// FirstToken returns the quantile of the time to first token of served samples, in milliseconds.
func (s Samples) FirstToken(quantile float64) float64 {
	return s.quantile(quantile, func(a load.Answer) time.Duration { return a.FirstToken })
}

// RefusalTime returns the quantile of the time to a refusal, in milliseconds.
func (s Samples) RefusalTime(quantile float64) float64 {
	return s.Refused().quantile(quantile, func(a load.Answer) time.Duration { return a.Total })
}

// Recomputed is the share of prompt tokens that engines did not find in their cache.
func (s Samples) Recomputed() float64 {
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

// Goodput counts the served samples whose first token came within the rank's target.
func (s Samples) Goodput(targets map[spoke.RankName]time.Duration) int {
	count := 0
	for _, sample := range s.Served() {
		if sample.Answer.FirstToken <= targets[sample.Rank] {
			count++
		}
	}
	return count
}

func (s Samples) quantile(quantile float64, of func(load.Answer) time.Duration) float64 {
	if len(s) == 0 {
		return 0
	}
	times := make([]time.Duration, 0, len(s))
	for _, sample := range s {
		times = append(times, of(sample.Answer))
	}
	slices.SortFunc(times, cmp.Compare[time.Duration])
	index := min(int(quantile*float64(len(times))), len(times)-1)
	return float64(times[index].Microseconds()) / 1000
}
