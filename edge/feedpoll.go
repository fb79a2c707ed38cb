package edge

import (
	"errors"
	"net/url"
	"strconv"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	feedAfter = "after"
	feedWait  = "wait-ms"
	// feedMaxAge is the age from which the knowledge of a host is of no use to the one that polls; absent in requests of
	// earlier hosts.
	feedMaxAge = "max-age-ms"
	// maxFeedWait bounds how long a request waits for changes.
	maxFeedWait = 2 * time.Second
)

// feedPoll is what another host asks for.
type feedPoll struct {
	after spoke.Revision
	wait  time.Duration
	// maxAge is the age from which this host's knowledge is of no use to the other one.
	maxAge time.Duration
}

// parseFeedPoll returns what the query of a request asks for.
func parseFeedPoll(query url.Values) (feedPoll, error) {
	after, err := strconv.ParseUint(query.Get(feedAfter), 10, 64)
	waitMs, waitErr := strconv.ParseUint(query.Get(feedWait), 10, 31)
	poll := feedPoll{after: spoke.Revision(after), wait: min(time.Duration(waitMs)*time.Millisecond, maxFeedWait), maxAge: place.UnknownAge}
	if !query.Has(feedMaxAge) {
		return poll, errors.Join(err, waitErr)
	}
	ageMs, ageErr := strconv.ParseUint(query.Get(feedMaxAge), 10, 31)
	poll.maxAge = time.Duration(ageMs) * time.Millisecond
	return poll, errors.Join(err, waitErr, ageErr)
}
