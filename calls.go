package spoke

import (
	"context"
	"net/http"
	"time"
)

const (
	// FaultNone marks an answer without fault.
	FaultNone AnswerFault = ""
	// FaultOtherRequest marks an answer that belongs to another request.
	FaultOtherRequest AnswerFault = "answer of another request"
	// FaultUnverifiedOrigin marks a successful answer whose upstream cannot be verified.
	FaultUnverifiedOrigin AnswerFault = "success without proof of origin"
)

type (
	// AnswerFault is the reason why an answer must not be forwarded to the caller.
	AnswerFault string
	// PartID identifies a prompt part by its content.
	PartID string

	// PromptPart is a part of a prompt; several requests may contain the same part.
	PromptPart struct {
		ID     PartID
		Tokens TokenCount
	}

	// PromptMetadata describes a prompt without its text.
	PromptMetadata struct {
		Model     ModelName
		Input     TokenCount
		MaxOutput TokenCount
		// Hint is the caller's estimate of the number of output tokens; zero means none.
		Hint  TokenCount
		Parts []PromptPart
	}

	// RelayedCall is a caller's request whose path, body and answer are forwarded unchanged.
	RelayedCall struct {
		Request RequestID
		Method  string
		// Target is the request target: path and query as the caller sent them.
		Target   string
		HostName string
		Path     string
		// Header holds the fields to forward, without those that only this system may set.
		Header http.Header
		Body   []byte
		// APIKey is the caller's bearer token, empty if it sent none.
		APIKey string
		// Timeout is how long the caller waits for the answer; zero means that it is not given.
		Timeout time.Duration
		// LastEventID is the id of the event after which a stream resumes, empty for a new stream.
		LastEventID string
		// Resumes is the request with which the caller received the first event of the stream that the
		// call resumes, empty if the caller names none.
		Resumes RequestID
		Prompt  PromptMetadata
	}

	// RelayedAttempt is one attempt to send a call to an upstream.
	RelayedAttempt struct {
		Call      *RelayedCall
		Upstream  UpstreamID
		Workspace WorkspaceID
		// Remaining is the time left until the call's deadline.
		Remaining time.Duration
		// Weights is the version that the engine must have loaded; zero means any.
		Weights WeightVersion
		// CacheGroup separates the cached prompt parts of workspaces and weight versions.
		CacheGroup  string
		Urgency     Priority
		HasUrgency  bool
		LastEventID string
		// FetchSources holds for each prompt part the address from which the engine copies it,
		// empty for parts that the engine has cached or computes.
		FetchSources []Address
		// SaveTargets holds for each prompt part the address to which the engine copies it, empty
		// for none.
		SaveTargets []Address
		// FetchDeadline is when the engine discards unfinished copies; zero means never.
		FetchDeadline EngineTime
	}

	// UpstreamLoad is the load that an upstream reports in an answer.
	UpstreamLoad struct {
		Running int
		Waiting int
		Slots   int
		// Slowness is the factor by which work takes longer than usual; zero if not reported.
		Slowness float64
	}

	// AnswerHead is the decoded status and header of an upstream's answer.
	AnswerHead struct {
		Status int
		// Header holds the fields to forward to the caller.
		Header http.Header
		Fault  AnswerFault
		// IsNotRun reports whether the upstream states that it has not run the request and will not.
		IsNotRun bool
		// NamesRequest reports whether the answer names the request that it belongs to.
		NamesRequest bool
		// IsMisdirected reports whether another upstream has the address or other weights are loaded.
		IsMisdirected bool
		// IsUpstreamReplaced reports whether another upstream has the address, so that the
		// intended one no longer exists.
		IsUpstreamReplaced bool
		Load               *UpstreamLoad
		Weights            WeightVersion
		// IsLeaving reports whether the upstream is leaving and accepts no new requests.
		IsLeaving bool
		// Pause is how long an upstream that rejected the request asks for no further requests.
		Pause time.Duration
		// InvalidPause is the text of a pause that cannot be parsed.
		InvalidPause string
		// Limit is the rate of requests that the upstream accepts from all hosts together, nil if the answer
		// names none.
		Limit *RequestRate
		// InvalidLimit is the text of a limit that cannot be parsed.
		InvalidLimit string
		// Brittle is the number of rejections for want of room within a second from which one more makes the upstream
		// fall over, nil if the answer does not say that the upstream is brittle.
		Brittle *RejectionCount
		// InvalidBrittle is the text of such a number that cannot be parsed.
		InvalidBrittle string
		// IdleTimeout is how long the upstream keeps the connection open; zero means unknown.
		IdleTimeout time.Duration
	}

	// IdentityRequest is a request that shows which upstream runs at an address.
	IdentityRequest struct {
		Method string
		Target string
		Header http.Header
	}

	// UpstreamIdentity is what the answer to an IdentityRequest shows.
	UpstreamIdentity struct {
		// IsOther reports whether another upstream than the one that was meant has the address.
		IsOther bool
		// IsReport is set if the answer is a report that could be read. Plain upstreams have none.
		IsReport bool
		// Started is the start time on the upstream's own clock, the zero time if the answer does not give it.
		Started time.Time
		// Uptime is the time since the start by that clock, zero if the answer does not give it.
		Uptime time.Duration
		// IdleTimeout is how long the upstream keeps the connection open; zero means unknown.
		IdleTimeout time.Duration
	}

	// IdentityCodec converts identity requests and their answers.
	IdentityCodec interface {
		// EncodeIdentityRequest returns the request about an upstream that should run at an address.
		EncodeIdentityRequest(upstream UpstreamID) IdentityRequest
		// IsIdentityAnswer reports whether an answer is none to an earlier call on the same connection.
		IsIdentityAnswer(header http.Header) bool
		// DecodeIdentity decodes the answer to the request about an upstream. A body that cannot be decoded shows nothing.
		DecodeIdentity(upstream UpstreamID, status int, header http.Header, body []byte) UpstreamIdentity
	}

	// UpstreamHealth is what the response to a health request shows.
	UpstreamHealth struct {
		// IsOther reports whether another upstream than the one that was meant has the address.
		IsOther bool
		// ColdLeft is the remaining cold time, nil if the response states none.
		ColdLeft *time.Duration
		// InvalidCold is a stated time that is not a valid one, shortened for the log.
		InvalidCold string
		// IdleTimeout is how long the upstream keeps the connection open; zero means unknown.
		IdleTimeout time.Duration
	}

	// HealthCodec converts health requests and their responses.
	HealthCodec interface {
		// EncodeHealthRequest returns the health request to an upstream with the target that its service names.
		EncodeHealthRequest(upstream UpstreamID, path string) IdentityRequest
		// DecodeHealth decodes the response to the health request to an upstream.
		DecodeHealth(upstream UpstreamID, status int, header http.Header) UpstreamHealth
	}

	// RelayCodec converts calls and answers between HTTP and the types of this package.
	RelayCodec interface {
		IdentityCodec
		HealthCodec
		// DecodeCall decodes the head of a caller's request, whose header the call takes over; an error means that it is
		// malformed.
		DecodeCall(r *http.Request) (*RelayedCall, error)
		// EncodeAttempt returns the header of the request to the upstream.
		EncodeAttempt(attempt RelayedAttempt) http.Header
		// DecodeAnswer decodes the head of an answer to the attempt.
		DecodeAnswer(attempt RelayedAttempt, status int, header http.Header) AnswerHead
		// EventWeights returns the weight version that a stream event announces, if any.
		EventWeights(event []byte) (WeightVersion, bool)
	}

	// EngineReport is the state that an engine reports; it is some hundred milliseconds old.
	EngineReport struct {
		Weights map[ModelName]WeightVersion
		// HasOrder reports whether the engine is executing an order.
		HasOrder bool
		// Orders counts the orders that the engine accepted since its start.
		Orders  int64
		Running int
		Waiting int
		AsOf    time.Time
	}

	// WeightOrder instructs an engine to load weights.
	WeightOrder struct {
		Upstream UpstreamID
		Model    ModelName
		Version  WeightVersion
		Holder   HostID
		Fence    FencingToken
		// ExpectedOrders is the number of orders that the engine must have accepted before this one.
		ExpectedOrders int64
		// KeepsRuns lets active runs continue on the new weights instead of finishing before the swap.
		KeepsRuns bool
	}

	// EngineControl reads the state of engines and sends them orders.
	EngineControl interface {
		// Report reads an engine's state.
		Report(ctx context.Context, at Address) (EngineReport, error)
		// LoadWeights sends an order; ErrStaleFence and ErrBusy mean that the engine refused it.
		LoadWeights(ctx context.Context, at Address, order WeightOrder) error
	}
)

// NamesNoLimit reports whether the upstream itself has answered the request without naming a limit. Statements
// that a request was not run may come from another upstream or a proxy.
func (h AnswerHead) NamesNoLimit() bool {
	isOwn := h.Status != 0 && h.Fault == FaultNone && !h.IsNotRun
	return isOwn && h.Limit == nil && h.InvalidLimit == ""
}
