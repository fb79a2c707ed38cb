package spoke

import "time"

type (
	// CallNumber numbers the calls of one host while they wait and run.
	CallNumber uint64

	// PrefixKey identifies a prompt prefix within its cache group and weight version.
	PrefixKey uint64

	// PromptPrefix is the beginning of a prompt up to and including one part.
	PromptPrefix struct {
		Key PrefixKey
		// Part is the size of the last part alone.
		Part TokenCount
		// Total is the size of all parts up to this one.
		Total TokenCount
	}

	// PlacedPrompt tells other hosts which prefixes an engine has read or is about to read.
	PlacedPrompt struct {
		Upstream UpstreamID
		Prefixes []PromptPrefix
	}

	// UpstreamShare is what one host has under way at an upstream.
	HostUpstreamLoad struct {
		Upstream UpstreamID
		// Unread counts the prompt tokens of calls that have no first event yet.
		Prefill TokenCount
		// Memory counts the tokens that the running calls take in the engine.
		Memory TokenCount
		Runs   int
		// Copying is the time that the transfers of cached parts for these calls take.
		TransferTime time.Duration
	}

	// WaitingWork is the work of one urgency that waits at a host.
	WaitingWork struct {
		Service ServiceName
		Urgency Priority
		// Tokens counts the prompt tokens; calls of plain services count as one each.
		Tokens TokenCount
	}

	// LoadShare is one host's account of its own work, as sent to its peers.
	HostReport struct {
		Host HostID
		// Number orders the accounts of one process.
		Sequence uint64
		// IsWhole says that upstreams which are not named have no work of this host.
		IsSnapshot bool
		Upstreams  []HostUpstreamLoad
		Waiting    []WaitingWork
		Placed     []PlacedPrompt
		// Paused holds engines that load weights and should get no new work for the time.
		Paused  map[UpstreamID]time.Duration
		Weights map[UpstreamID]ListedWeights
		Marks   []QuarantineMark
		Stores  []StoreState
		// Leaving holds upstreams that have said in answers that they leave.
		Leaving []UpstreamStart
		// Copies holds the sources from which calls of this host wait for copies.
		Copies []CopyReport
		// Slowness holds what upstreams have said of their machines.
		Slowness []UpstreamSlowness
		// Directory says what the host knows of the directory.
		Directory DirectoryView
		// WantedAges says how long ago wanted weights were named.
		WantedAges []WantedAge
	}

	// CopyShare is what one host waits for from a source and what it has learned of it.
	CopyReport struct {
		Source Address
		// Took is the time that the pending copies take.
		PendingTime time.Duration
		// Came counts the copies that came since the last account, Late is how much later than predicted
		// they came on average.
		Completed int
		MeanDelay time.Duration
	}

	// UpstreamSlowness is how many times longer than usual work took at an upstream some time ago.
	UpstreamSlowness struct {
		Upstream UpstreamID
		Slowness float64
		Age      time.Duration
	}

	// DirectoryView is how far a host has followed the directory.
	DirectoryView struct {
		Revision Revision
		// Age is the time since the directory was last reached.
		Age time.Duration
	}

	// UpstreamStart is one start of an upstream.
	UpstreamStart struct {
		ID UpstreamID
		// Started is the zero time if the upstream's entry does not say.
		Started time.Time
	}

	// WantedAge is the time since weights were named.
	WantedAge struct {
		Wanted WantedWeights
		Age    time.Duration
	}

	// ListedWeights is a weight version that an engine was seen to serve.
	ListedWeights struct {
		Model   ModelName
		Version WeightVersion
	}
)
