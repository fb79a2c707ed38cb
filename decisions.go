package spoke

import "time"

type (
	// LoadSummary is what entry hosts tell each other about an upstream they own.
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
		// Paused says that the upstream should get new work only if there is no other.
		Paused bool
		Dead   bool
		AsOf   time.Time
	}

	// UpstreamView is an upstream as one entry host sees it.
	UpstreamView struct {
		Upstream Upstream
		// Owner is the live entry host that queues for the upstream; empty if none is in reach.
		Owner HostID
		Load  LoadSummary
	}

	// RouteQuery describes the request that needs an upstream.
	RouteQuery struct {
		Service    ServiceName
		Model      ModelName
		Version    ModelVersion
		DataCentre DataCentreID
		// Keys are the block keys of the prompt, the shortest prefix first.
		Keys         []BlockKey
		PromptTokens TokenCount
		Rank         Rank
		// Exclude lists upstreams that already failed the request.
		Exclude map[UpstreamID]bool
	}

	// Router orders the upstreams that may serve a request.
	Router interface {
		// Choose returns usable upstreams, the best first; it does not keep the views.
		Choose(now time.Time, query RouteQuery, views []UpstreamView) []UpstreamID
	}

	// WorkItem is a request that waits for or holds a place at an upstream.
	WorkItem struct {
		Attempt   AttemptID
		Request   RequestID
		Upstream  UpstreamID
		Workspace WorkspaceID
		Rank      RankName
		// Cost is predicted work in token equivalents: uncached prompt and expected output.
		Cost TokenCount
		// Solo demands that no other suspect runs on the upstream at the same time.
		Solo bool
		// Preemptible says that the run can be cancelled and resumed.
		Preemptible bool
		// Resumed marks the rest of a run whose first token was delivered; no
		// first-token target and no workspace limit applies to it again.
		Resumed  bool
		Enqueued time.Time
	}

	// AdmissionMessage is an input of an Admission.
	AdmissionMessage interface{ isAdmissionMessage() }

	// SubmitWork asks for a place at an upstream.
	SubmitWork struct{ Item WorkItem }
	// WithdrawWork takes a waiting or running item out without a result.
	WithdrawWork struct{ Attempt AttemptID }
	// FinishWork reports the end of a granted item.
	FinishWork struct {
		Attempt AttemptID
		// FirstToken is the time from grant to first token; zero if none came.
		FirstToken time.Duration
		Duration   time.Duration
		// Cost is the real work in token equivalents; zero means unknown.
		Cost   TokenCount
		Failed bool
		// Busy says that the upstream refused the item because it was at its limit.
		Busy bool
	}
	// DeliverWork reports the first token of a granted item.
	ReportFirstToken struct{ Attempt AttemptID }
	// ConfigureAdmission sets ranks, workspaces and the upstreams that the host owns.
	ConfigureAdmission struct {
		Ranks      []Rank
		Workspaces []Workspace
		Owned      []UpstreamID
	}
	// ReportLoad passes on an engine's load report.
	ReportLoad struct {
		Upstream UpstreamID
		Report   LoadReport
	}
	// AdmissionTick lets time pass.
	AdmissionTick struct{}

	// AdmissionAction is an output of an Admission.
	AdmissionAction interface{ isAdmissionAction() }

	// GrantWork lets an item start.
	GrantWork struct{ Attempt AttemptID }
	// RefuseWork refuses a waiting item.
	RefuseWork struct {
		Attempt AttemptID
		Refusal *Refusal
	}
	// PreemptWork asks the holder to cancel a running item and submit it again.
	PreemptWork struct{ Attempt AttemptID }

	// Admission decides which work an upstream gets and when; it is pure and single-threaded.
	Admission interface {
		// Handle takes one message and returns the actions that follow from it.
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
