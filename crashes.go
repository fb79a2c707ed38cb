package spoke

import "time"

type (
	// PartHash is the hash of a part's id, the same at all hosts, in all places of a prompt and for all
	// weights.
	PartHash uint64

	// UpstreamCrash is a crash of one start of an upstream. All hosts that observe it report the same
	// crash.
	UpstreamCrash struct {
		Upstream UpstreamStart
		Age      time.Duration
		// Parts are shared parts of the requests that the upstream had not begun to answer.
		Parts []PartHash
		// Repeated are shared parts of such requests that had been hit by an earlier crash.
		Repeated []PartHash
	}

	// ServedPart is a suspected part of a request that was answered although it contains the part.
	ServedPart struct {
		Part PartHash
		// Age is the time since the answer began.
		Age time.Duration
	}

	// PartMark is a part whose requests are refused because they crash upstreams, or the end of such a
	// mark.
	PartMark struct {
		Part PartHash
		// With lists parts that a request has to contain too in order to be refused, while it is not known
		// which of them crashes upstreams.
		With []PartHash
		// Revision orders the marks of a part; each crash of a probe and the end of the mark raise it.
		Revision uint64
		// Term is the time from the last crash to the first probe.
		Term time.Duration
		// Remaining is the rest of Term; zero means that the part is probed.
		Remaining time.Duration
		IsEnded   bool
	}

	// RefutedCrash is a crash that one host reported of a start of an upstream which has answered another host since.
	RefutedCrash struct {
		Upstream UpstreamStart
		Age      time.Duration
	}

	// CrashReport is what a host reports about prompt parts that crash upstreams. It is empty as long as no
	// upstream crashes. A crash takes the upstream's id and 8 bytes for each suspected part before encoding,
	// in one report when it is observed and in the full reports of the next 5 s. Package crash bounds a
	// report to 32 crashes with together 384 parts, 128 served parts, 64 marks and 32 refuted crashes.
	CrashReport struct {
		Crashes []UpstreamCrash
		Served  []ServedPart
		Marks   []PartMark
		Refuted []RefutedCrash
	}
)
