package spoke

import "time"

type (
	// LoadSummary is the load of an upstream as its owner publishes it to other entry hosts.
	LoadSummary struct {
		Queued  int
		Running int
		// Limit is the owner's adaptive concurrency limit.
		Limit int
		// ExpectedWait is the predicted queueing time of new work of the lowest rank.
		ExpectedWait time.Duration
		// Waits holds the predicted queueing time by rank; a missing rank means unknown.
		Waits    map[RankName]time.Duration
		Versions map[ModelName]ModelVersion
		Draining bool
		// Paused reports whether the upstream should get new work only if there is no other upstream.
		Paused bool
		Dead   bool
		AsOf   time.Time
	}

	// UpstreamView is an upstream as one entry host observes it.
	UpstreamView struct {
		Upstream Upstream
		// Owner is the live entry host that queues for the upstream; empty if none is reachable.
		Owner HostID
		Load  LoadSummary
	}

	// RouteQuery describes a request that needs an upstream.
	RouteQuery struct {
		Service    ServiceName
		Model      ModelName
		Version    ModelVersion
		DataCentre DataCentreID
		// Keys are the block keys of the prompt, the shortest prefix first.
		Keys         []BlockKey
		PromptTokens TokenCount
		Rank         Rank
		// Exclude lists upstreams on which the request has already failed.
		Exclude map[UpstreamID]bool
	}

	// Router orders the upstreams that may serve a request.
	Router interface {
		// Choose returns usable upstreams, the best first; it does not retain the views.
		Choose(now time.Time, query RouteQuery, views []UpstreamView) []UpstreamID
	}

	// WorkItem is a request that waits for or occupies a slot of an upstream.
	WorkItem struct {
		Attempt   AttemptID
		Request   RequestID
		Upstream  UpstreamID
		Workspace WorkspaceID
		Rank      RankName
		// Cost is predicted work in token equivalents: uncached prompt and expected output.
		Cost TokenCount
		// Solo requires that no other request suspected of crashes runs on the upstream at the same time.
		Solo bool
		// Preemptible reports whether the run can be cancelled and resumed.
		Preemptible bool
		// Resumed marks the rest of a run whose first token was delivered; the first-token
		// target and the workspace limit do not apply to it again.
		Resumed  bool
		Enqueued time.Time
	}

	// AdmissionMessage is an input of an Admission.
	AdmissionMessage interface{ isAdmissionMessage() }

	// SubmitWork requests a slot of an upstream.
	SubmitWork struct{ Item WorkItem }
	// WithdrawWork removes a waiting or running item without a result.
	WithdrawWork struct{ Attempt AttemptID }
	// FinishWork reports the end of a granted item.
	FinishWork struct {
		Attempt AttemptID
		// FirstToken is the time from grant to first token; zero if there was none.
		FirstToken time.Duration
		Duration   time.Duration
		// Cost is the actual work in token equivalents; zero means unknown.
		Cost   TokenCount
		Failed bool
		// Busy reports whether the upstream refused the item because it was at its limit.
		Busy bool
	}
	// ReportFirstToken reports the first token of a granted item.
	ReportFirstToken struct{ Attempt AttemptID }
	// ConfigureAdmission sets ranks, workspaces and the upstreams that the host owns.
	ConfigureAdmission struct {
		Ranks      []Rank
		Workspaces []Workspace
		Owned      []UpstreamID
	}
	// ReportLoad carries an engine's load report.
	ReportLoad struct {
		Upstream UpstreamID
		Report   LoadReport
	}
	// AdmissionTick triggers the actions that have become due.
	AdmissionTick struct{}

	// AdmissionAction is an output of an Admission.
	AdmissionAction interface{ isAdmissionAction() }

	// GrantWork permits an item to start.
	GrantWork struct{ Attempt AttemptID }
	// RefuseWork refuses a waiting item.
	RefuseWork struct {
		Attempt AttemptID
		Refusal *Refusal
	}
	// PreemptWork asks the holder to cancel a running item and submit it again.
	PreemptWork struct{ Attempt AttemptID }

	// Admission decides which work an upstream gets and when; it does no I/O, reads no clock and
	// is not safe for concurrent use.
	Admission interface {
		// Handle processes one message and returns the resulting actions.
		Handle(now time.Time, message AdmissionMessage) []AdmissionAction
		// Summary returns the load of an owned upstream.
		Summary(now time.Time, upstream UpstreamID) LoadSummary
	}
)

func (SubmitWork) isAdmissionMessage()         {}
func (WithdrawWork) isAdmissionMessage()       {}
func (FinishWork) isAdmissionMessage()         {}
func (ReportFirstToken) isAdmissionMessage()   {}
func (ConfigureAdmission) isAdmissionMessage() {}
func (ReportLoad) isAdmissionMessage()         {}
func (AdmissionTick) isAdmissionMessage()      {}

func (GrantWork) isAdmissionAction()   {}
func (RefuseWork) isAdmissionAction()  {}
func (PreemptWork) isAdmissionAction() {}
