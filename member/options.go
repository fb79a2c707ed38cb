package member

import "time"

const (
	defaultFanOut  = 2
	defaultSuspect = 2 * time.Second
	defaultRemove  = 4 * time.Second
	// remoteEvery is the number of rounds between exchanges within a data centre
	// that carry the beats of all others, whose number grows with the whole fleet.
	remoteEvery = 8
	// remoteContacts is how many hosts of a data centre contact another data
	// centre in a round.
	remoteContacts = 1
	// remotePatience stretches the timeouts for hosts of other data centres,
	// whose beats take some remoteEvery rounds to reach all hosts.
	remotePatience = 8
)

type (
	// Option changes a setting of a Table.
	Option interface{ apply(*Table) }

	optionFunc func(*Table)
)

func (f optionFunc) apply(t *Table) { f(t) }

// WithFanOut sets the number of hosts of the data centre that a round contacts.
func WithFanOut(hosts int) Option {
	return optionFunc(func(t *Table) { t.fanOut = hosts })
}

// WithTimeouts sets when a silent host is suspected and when it is removed.
func WithTimeouts(suspect, remove time.Duration) Option {
	return optionFunc(func(t *Table) { t.suspectAfter, t.removeAfter = suspect, remove })
}
