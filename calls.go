package spoke

import (
	"context"
	"net/http"
	"time"
)

const (
	// FaultNone marks an answer that is the upstream's own.
	FaultNone AnswerFault = ""
	// FaultOther marks an answer that belongs to another request.
	FaultOtherRequest AnswerFault = "answer of another request"
	// FaultUnproved marks a success that does not prove which upstream made it.
	FaultUnverifiedOrigin AnswerFault = "success without proof of origin"
)

type (
	// AnswerFault says why an answer must not be passed on.
	AnswerFault string
	// PartID identifies a part of a prompt by its content.
	PartID string

	// PromptPart is a part of a prompt; requests share parts.
	PromptPart struct {
		ID     PartID
		Tokens TokenCount
	}

	// PromptShape describes a prompt without its text.
	PromptMetadata struct {
		Model     ModelName
		Input     TokenCount
		MaxOutput TokenCount
		// Hint is the caller's estimate of the number of output tokens; zero means none.
		Hint  TokenCount
		Parts []PromptPart
	}

	// RelayedCall is a call of a caller whose path, body and answer are passed on unread.
	RelayedCall struct {
		Request RequestID
		Method  string
		// Target is the path and query as the caller sent them.
		Target   string
		HostName string
		Path     string
		// Header holds what is passed on; it has no field that only this system may set.
		Header http.Header
		Body   []byte
		APIKey string
		// Wait is how long the caller waits; zero means that it did not say.
		Timeout time.Duration
		// LastEvent is the id after which a stream goes on, empty for a new one.
		LastEventID string
		Prompt      PromptMetadata
	}

	// RelayedAttempt is one sending of a call to an upstream.
	RelayedAttempt struct {
		Call      *RelayedCall
		Upstream  UpstreamID
		Workspace WorkspaceID
		// Remaining is the time that is left for the answer.
		Remaining time.Duration
		// Weights is the version that the engine must have; zero means any.
		Weights WeightVersion
		// CacheGroup separates the cached prompt parts of workspaces and weight versions.
		CacheGroup  string
		Urgency     Priority
		HasUrgency  bool
		LastEventID string
		// Fetch names for each part of the prompt where the engine copies it from, empty for
		// parts that it holds or reads.
		FetchSources []Address
		// Save names for each part of the prompt where the engine sends it, empty for none.
		SaveTargets []Address
		// FetchUntil is when copies that have not ended are thrown away, zero for never.
		FetchDeadline EngineTime
	}

	// UpstreamLoad is what an upstream says of its load in an answer.
	UpstreamLoad struct {
		Running int
		Waiting int
		Slots   int
		// Slowness is how many times longer than usual work takes now, zero if it does not say.
		Slowness float64
	}

	// AnswerHead is what the head of an upstream's answer says.
	AnswerHead struct {
		Status int
		// Header holds what is passed on to the caller.
		Header http.Header
		Fault  AnswerFault
		// IsNotRun states that the upstream has not run the request and will not.
		IsNotRun bool
		// IsElsewhere states that another upstream has the address or other weights are loaded.
		IsMisdirected bool
		// IsOtherUpstream states that another upstream has the address, so that the one that was
		// meant is gone.
		IsUpstreamReplaced bool
		Load               *UpstreamLoad
		Weights            WeightVersion
		// IsLeaving states that the upstream leaves and wants no new requests.
		IsLeaving bool
		// Pause is how long an upstream that turned the request away wants none from this host.
		Pause time.Duration
		// BadPause is the text of a pause that cannot be read.
		InvalidPause string
		// IdleTimeout is how long the upstream keeps the connection open; zero means unknown.
		IdleTimeout time.Duration
	}

	// RelayCodec maps calls and answers between the wire and the types of this package.
	RelayCodec interface {
		// DecodeCall reads the head of a caller's request; an error is a fault of the caller.
		DecodeCall(r *http.Request) (*RelayedCall, error)
		// EncodeAttempt returns the header of the request to the upstream.
		EncodeAttempt(attempt RelayedAttempt) http.Header
		// DecodeAnswer reads the head of an answer to the attempt.
		DecodeAnswer(attempt RelayedAttempt, status int, header http.Header) AnswerHead
		// EventWeights reads the weight version that an event of a stream announces.
		EventWeights(event []byte) (WeightVersion, bool)
	}

	// EngineReport is an engine's own account of its state, some hundred milliseconds old.
	EngineReport struct {
		Weights map[ModelName]WeightVersion
		// HasOrder says that an order is being carried out.
		HasOrder bool
		// Orders counts the orders that the engine accepted since its start.
		Orders  int64
		Running int
		Waiting int
		AsOf    time.Time
	}

	// WeightOrder makes an engine load weights.
	WeightOrder struct {
		Upstream UpstreamID
		Model    ModelName
		Version  WeightVersion
		Holder   HostID
		Fence    FencingToken
		// After is the number of orders that the engine must have accepted before.
		ExpectedOrders int64
		// KeepsRuns lets runs continue on the new weights in place of ending first.
		KeepsRuns bool
	}

	// EngineControl reads the state of engines and gives them orders.
	EngineControl interface {
		// Report reads an engine's state.
		Report(ctx context.Context, at Address) (EngineReport, error)
		// LoadWeights gives an order; ErrStaleFence and ErrBusy mean that it was refused.
		LoadWeights(ctx context.Context, at Address, order WeightOrder) error
	}
)
