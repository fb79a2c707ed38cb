package origin

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Retention is how long the origin of a stream, and a software version that is no longer listed, are kept. It
	// exceeds the time for which streams usually run and callers retry.
	Retention = 2 * time.Minute
	// renewTime is the time after which a stream that still runs is recorded again, renewInterval that between two
	// looks for such streams.
	renewTime     = Retention / 2
	renewInterval = time.Second
	// maxStreams bounds the origins that are kept; the oldest ones yield.
	maxStreams = 1 << 16
	// clockTolerance bounds the difference between the clocks of an upstream and of this host.
	clockTolerance = 2 * time.Second
)

type (
	// Stream is a stream that this host relays.
	Stream struct {
		Request  spoke.RequestID
		Service  spoke.ServiceName
		Upstream spoke.UpstreamID
		// Software is empty if the version is in doubt.
		Software spoke.SoftwareVersion
	}

	record struct {
		Stream
		at time.Time
		// beganAt is when the stream began or went on at its upstream.
		beganAt time.Time
		// isTold says that other hosts have been told of the stream.
		isTold bool
		// runs is the number of answers of this host that bring events of the stream.
		runs int
	}

	// touched is a time at which a record was added or renewed.
	touched struct {
		request spoke.RequestID
		at      time.Time
	}

	// Streams holds the origins of streams, of this host and of others, for a limited time.
	Streams struct {
		records map[spoke.RequestID]*record
		// order lists the times of all additions and renewals, the oldest first.
		order []touched
		// renewedAt is when streams that run were last looked through.
		renewedAt time.Time
	}
)

// NewStreams returns an empty set of origins.
func NewStreams() *Streams { return &Streams{records: make(map[spoke.RequestID]*record)} }

// Add records the origin of a stream that this host begins to relay or goes on with, and returns it. isTold says
// that other hosts are told of it at once. The stream runs until End.
func (s *Streams) Add(now time.Time, stream Stream, isTold bool) spoke.StreamOrigin {
	return s.add(now, record{Stream: stream, at: now, isTold: isTold})
}

// Receive records an origin that another host has reported.
func (s *Streams) Receive(now time.Time, reported spoke.StreamOrigin) {
	if reported.Age < 0 || reported.Age > Retention {
		return
	}
	s.add(now, record{Stream: Stream{Request: reported.Request, Software: reported.Software}, at: now.Add(-reported.Age)})
}

// add keeps a version in doubt for good, as one that contradicts what is known: no event may follow those of another
// version.
func (s *Streams) add(now time.Time, added record) spoke.StreamOrigin {
	s.prune(now)
	known := s.records[added.Request]
	switch {
	case known == nil:
		known = &added
		s.records[added.Request] = known
	case known.Software != added.Software:
		known.Software = ""
	}
	if added.Upstream != "" {
		known.Service, known.Upstream, known.isTold = added.Service, added.Upstream, added.isTold
		known.beganAt = added.at
		known.runs++
	}
	if added.at.After(known.at) || known.at.Equal(added.at) {
		s.touch(known, added.at)
	}
	return known.reported(now)
}

func (s *Streams) touch(known *record, at time.Time) {
	known.at = at
	s.order = append(s.order, touched{known.Request, at})
}

// End records the end of an answer that brought events of a stream.
func (s *Streams) End(now time.Time, request spoke.RequestID) {
	if known := s.records[request]; known != nil && known.runs > 0 {
		known.runs--
		s.touch(known, now)
	}
}

// Renew keeps the streams that run at this host. It returns those that were last recorded renewTime ago, and the origins
// among them that other hosts were told of, so that they keep them too.
func (s *Streams) Renew(now time.Time) (running []Stream, told []spoke.StreamOrigin) {
	if now.Sub(s.renewedAt) < renewInterval {
		return nil, nil
	}
	s.renewedAt = now
	for _, known := range s.records {
		if known.runs == 0 || now.Sub(known.at) < renewTime {
			continue
		}
		s.touch(known, now)
		running = append(running, known.Stream)
		if known.isTold {
			told = append(told, known.reported(now))
		}
	}
	return running, told
}

// Find returns the software version at which a stream began, empty if it is in doubt; it returns false if the stream
// is not known.
func (s *Streams) Find(now time.Time, request spoke.RequestID) (spoke.SoftwareVersion, bool) {
	s.prune(now)
	known := s.records[request]
	if known == nil {
		return "", false
	}
	return known.Software, true
}

// Untold returns the origins of the streams of a service at this host that other hosts have not been told of, and
// counts them as told.
func (s *Streams) Untold(now time.Time, service spoke.ServiceName) []spoke.StreamOrigin {
	s.prune(now)
	var untold []spoke.StreamOrigin
	for _, known := range s.records {
		if known.Upstream != "" && known.Service == service && !known.isTold {
			known.isTold = true
			untold = append(untold, known.reported(now))
		}
	}
	return untold
}

// Doubt puts the versions of streams in doubt that may have begun after an upstream had started again with another
// version, but before that was known, and returns them. A start at the zero time may have been at any time.
func (s *Streams) Doubt(now time.Time, upstream spoke.UpstreamID, started time.Time) []spoke.StreamOrigin {
	s.prune(now)
	var doubtful []spoke.StreamOrigin
	for _, known := range s.records {
		if known.Upstream == upstream && known.Software != "" && known.beganAt.After(started.Add(-clockTolerance)) {
			known.Software = ""
			doubtful = append(doubtful, known.reported(now))
		}
	}
	return doubtful
}

func (r *record) reported(now time.Time) spoke.StreamOrigin {
	return spoke.StreamOrigin{Request: r.Request, Software: r.Software, Age: now.Sub(r.at)}
}

// prune drops what is older than Retention, and the oldest records beyond maxStreams.
func (s *Streams) prune(now time.Time) {
	for len(s.order) > 0 {
		oldest := s.order[0]
		if len(s.order) <= maxStreams && now.Sub(oldest.at) <= Retention {
			return
		}
		if known := s.records[oldest.request]; known != nil && known.at.Equal(oldest.at) {
			delete(s.records, oldest.request)
		}
		s.order = s.order[1:]
	}
}
