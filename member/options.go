package member

import "time"

const (
	defaultFanOut       = 2
	defaultSuspectAfter = 2 * time.Second
	defaultRemoveAfter  = 4 * time.Second
	// remoteIntervalRounds is the number of rounds between the exchanges within a data centre
	// that also carry the beats of all other data centres. They are infrequent, since the
	// number of these beats grows with the fleet.
	remoteIntervalRounds = 8
	// remoteContactsPerRound is the mean number of hosts of a data centre that contact
	// a given other data centre in a round.
	remoteContactsPerRound = 1
	// remoteTimeoutFactor multiplies the timeouts for hosts of other data centres,
	// whose beats take several times remoteIntervalRounds rounds to reach all hosts.
	remoteTimeoutFactor = 8
)

type (
	// Option changes a setting of a Table.
	Option interface{ apply(*Table) }

	optionFunc func(*Table)
)

func (f optionFunc) apply(t *Table) { f(t) }

// WithFanOut sets the number of hosts of the local data centre that are contacted in a round.
func WithFanOut(hosts int) Option {
	return optionFunc(func(t *Table) { t.fanOut = hosts })
}

// WithTimeouts sets the times without heartbeats after which a host is suspect and after
// which it is dead. Both are multiplied by remoteTimeoutFactor for other data centres.
func WithTimeouts(suspectAfter, removeAfter time.Duration) Option {
	return optionFunc(func(t *Table) { t.suspectAfter, t.removeAfter = suspectAfter, removeAfter })
}
