package spoke

import "time"

type (
	// CallNumber identifies a waiting or running call within one host.
	CallNumber uint64

	// PrefixKey identifies a prompt prefix within its cache group and weight version.
	PrefixKey uint64

	// PromptPrefix is a prompt prefix that ends with a given part.
	PromptPrefix struct {
		Key PrefixKey
		// Part is the size of the last part.
		Part TokenCount
		// Total is the size of the whole prefix.
		Total TokenCount
	}

	// PlacedPrompt lists the prefixes of a prompt that was placed at an engine, which has them in its
	// cache or is about to compute them.
	PlacedPrompt struct {
		Upstream UpstreamID
		Prefixes []PromptPrefix
	}

	// HostUpstreamLoad is the work of one host at an upstream.
	HostUpstreamLoad struct {
		Upstream UpstreamID
		// Prefill is the number of prompt tokens of calls without a first event.
		Prefill TokenCount
		// Memory is the number of tokens that the running calls occupy in the engine's memory.
		Memory TokenCount
		Runs   int
		// CopyTime is the predicted time to copy cached prompt parts to the engine for these calls.
		CopyTime time.Duration
		// HasGivenUp says that calls without a first event have ended or no longer count since the last report, so
		// that fewer tokens to prefill show no progress of the upstream.
		HasGivenUp bool
		// Slack is the least time that streams at risk have left at their predicted ends, SlackStreams the number of
		// streams near it, zero if no stream is at risk.
		Slack        time.Duration
		SlackStreams int
		// Checked counts the runs whose answers have ended and are not known to be whole yet, CheckedAge is the time since the
		// newest of these ends.
		Checked    int
		CheckedAge time.Duration
		// BrokenAge is the time since a call of the host was broken off there, zero if none was in the last second.
		BrokenAge time.Duration
	}

	// WaitingWork is the work of one service and urgency that waits at a host.
	WaitingWork struct {
		Service ServiceName
		Urgency Priority
		Calls   int
		// Tokens is the number of prompt tokens; a call without a prompt counts as one.
		Tokens TokenCount
	}

	// HostReport is the load report that a host sends to its peers about its own work.
	HostReport struct {
		Host HostID
		// Sequence orders the reports of one process.
		Sequence uint64
		// Sent is when the report was written, in snapshots.
		Sent SentTime
		// IsSnapshot reports whether the report is complete, so that this host has no work at
		// unlisted upstreams.
		IsSnapshot bool
		Upstreams  []HostUpstreamLoad
		Waiting    []WaitingWork
		Placed     []PlacedPrompt
		// Paused holds engines that load weights, each with the time for which it should get no
		// new work.
		Paused map[UpstreamID]time.Duration
		// Doubts holds upstreams that the host could not connect to, each with the time for which it sends nothing
		// there, zero if it no longer doubts it. The cause may be the host's own ways.
		Doubts  map[UpstreamID]time.Duration
		Weights map[UpstreamID]ServedWeights
		Marks   []QuarantineMark
		Stores  []StoreState
		// Leaving lists upstreams that have announced in answers that they leave.
		Leaving []UpstreamStart
		// Limits lists upstreams that have named limits in answers.
		Limits []UpstreamLimit
		// Brittle lists upstreams that have said in answers that they are brittle.
		Brittle []UpstreamBrittleness
		// Cold lists the upstreams that are cold or have lately been.
		Cold []UpstreamColdness
		// BrokenDoubts lists those of Doubts that rest on a broken answer rather than on a failed connection.
		BrokenDoubts []UpstreamID
		// Copies lists the sources of copies for which calls of this host wait.
		Copies []CopyReport
		// Slowness lists the slowness that upstreams have reported.
		Slowness []UpstreamSlowness
		// Speeds lists what the host has seen of upstreams that may differ from others in speed.
		Speeds []UpstreamSpeed
		// Directory is the host's latest view of the directory.
		Directory DirectoryView
		// WantedAges holds the time since each weight version became the wanted one.
		WantedAges []WantedAge
		// Crashes holds what the host knows of prompt parts that crash upstreams.
		Crashes CrashReport
		// Software lists the software versions of services that have recently had several, in full reports.
		Software []ListedSoftware
		// SoftwareKnown is the time for which the host has known of each software version, in full reports; zero if
		// it is long enough for all streams.
		SoftwareKnown time.Duration
		// TakesNoDetours says that other hosts cannot connect to upstreams through this one, since it is cut off from them or
		// stops.
		TakesNoDetours bool
		// Origins lists streams of the host; a report with origins holds nothing else.
		Origins []StreamOrigin
	}

	// CopyReport describes the pending and recently completed copies of one host from a source.
	CopyReport struct {
		Source Address
		// PendingTime is the time for which the pending copies occupy the link of the source.
		PendingTime time.Duration
		// Completed is the number of copies completed since the last report, MeanDelay the mean time by
		// which they completed later than predicted.
		Completed int
		MeanDelay time.Duration
	}

	// UpstreamSlowness is the factor by which work at an upstream took longer than usual, with the
	// age of that measurement.
	UpstreamSlowness struct {
		Upstream UpstreamID
		Slowness float64
		Age      time.Duration
	}

	// UpstreamLimit is what a host knows of the rate of requests that an upstream accepts from all hosts
	// together.
	UpstreamLimit struct {
		Upstream UpstreamStart
		// Rate is the rate of the newest answer that named one.
		Rate RequestRate
		// IsEnded reports whether the upstream has stopped naming a limit.
		IsEnded bool
		// Age is the time since the answer that named the rate, or since the request was sent whose answer
		// named none.
		Age time.Duration
		// Sent is the number of requests that the host has recently sent to the upstream.
		Sent int
	}

	// UpstreamColdness is what a host knows of the time for which an upstream handles few requests.
	UpstreamColdness struct {
		Upstream UpstreamStart
		// Cause says what the statement rests on, empty if the host makes none of its own.
		Cause string
		// Age is the time since the statement, Left the remaining cold time, zero if the upstream is warm.
		Age, Left time.Duration
		// IsOpen reports whether the upstream is possibly cold without a known end.
		IsOpen bool
		// IsAsked reports whether a health request was sent lately, AskedAge the time since then.
		IsAsked  bool
		AskedAge time.Duration
		// Sent is the number of requests that the host has sent to the upstream in the last second.
		Sent int
	}

	// DirectoryView is the directory revision up to which a host is current.
	DirectoryView struct {
		Revision Revision
		// Age is the time since the directory was last reached.
		Age time.Duration
		// Table identifies the table in force in full reports, and is zero in others.
		Table TableReference
	}

	// UpstreamStart is one start of an upstream.
	UpstreamStart struct {
		ID UpstreamID
		// Started is the zero time if the upstream's entry does not give it.
		Started time.Time
	}

	// SentTime is a reading of a clock of the sending process, comparable only with others of that clock.
	SentTime struct {
		// Clock is zero if the time is not known.
		Clock ClockID
		// Reading includes suspensions of the machine.
		Reading time.Duration
	}

	// WantedAge is the time since a weight version became the wanted one, as the host learned it from the directory.
	WantedAge struct {
		Wanted WantedWeights
		Age    time.Duration
		// IsEstimate says that the age is only a bound; the true one may be lower.
		IsEstimate bool
	}

	// ServedWeights is a weight version that an engine was observed to serve. Lists of the oldest
	// usable versions use the type too.
	ServedWeights struct {
		Model   ModelName
		Version WeightVersion
	}
)
