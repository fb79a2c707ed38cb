package finish

import "time"

const (
	// nearSpan is the span above the least slack in which streams count as near it. Predictions of responses of some
	// seconds are off by about as much; 400 ms saved fewer streams in the replay.
	nearSpan = time.Second
	// longestSlack is the slack from which streams do not count, since few prompts take as long to prefill.
	longestSlack = 3 * time.Second
)

// Slack is the time from the predicted ends of an engine's streams to their deadlines, so long that nine of ten end
// within the prediction; the zero value is an engine without streams at risk.
type Slack struct {
	// Least is that of the first stream, at least zero.
	Least time.Duration
	// Streams is the number of streams near it.
	Streams int
}

// SlackOf sums up the slacks of streams at risk. Streams that will miss their deadline anyway do not count.
func SlackOf(slacks []time.Duration) Slack {
	least := longestSlack
	for _, slack := range slacks {
		if slack > -nearSpan {
			least = min(least, max(slack, 0))
		}
	}
	sum := Slack{Least: least}
	for _, slack := range slacks {
		if slack > -nearSpan && slack < min(least+nearSpan, longestSlack) {
			sum.Streams++
		}
	}
	if sum.Streams == 0 {
		return Slack{}
	}
	return sum
}

// Pushed returns the number of streams that a delay pushes past their deadlines. Streams near the least slack are
// assumed to be spread evenly over nearSpan.
func (s Slack) Pushed(delay time.Duration) float64 {
	return float64(s.Streams) * min(max(float64(delay-s.Least)/float64(nearSpan), 0), 1)
}
