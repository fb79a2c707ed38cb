package spoke

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// OrderLoadVersion instructs an engine to swap to a model version.
	OrderLoadVersion OrderKind = "load-version"
	// OrderLoadAdapter instructs an engine to load an adapter.
	OrderLoadAdapter OrderKind = "load-adapter"
	// OrderSetRole instructs an engine to change its role.
	OrderSetRole OrderKind = "set-role"

	// BlockStored reports that an engine now holds a block.
	BlockStored CacheEventKind = "stored"
	// BlockEvicted reports that an engine no longer holds a block.
	BlockEvicted CacheEventKind = "evicted"
)

var (
	// ErrNotRun reports that the upstream did not start the work.
	ErrNotRun = eris.New("not run by the upstream")
	// ErrWrongVersion reports a run refused because the engine serves another version.
	ErrWrongVersion = eris.New("upstream serves another model version")
	// ErrDraining reports work refused because the upstream is leaving.
	ErrDraining = eris.New("upstream is draining")
	// ErrBusy reports work refused because the upstream is at its limit.
	ErrBusy = eris.New("upstream is busy")
	// ErrStaleFence reports an order refused for its stale fencing token.
	ErrStaleFence = eris.New("stale fencing token")
	// ErrNotAuthorized reports an order refused for its credentials.
	ErrNotAuthorized = eris.New("order not authorized")
	// ErrIncomplete reports a stream that closed without its end marker.
	ErrIncomplete = eris.New("stream closed without end mark")
	// ErrIdleTimeout reports a connection that received no data within its idle timeout.
	ErrIdleTimeout = eris.New("connection silent beyond its idle limit")
)

type (
	// OrderKind names what an order changes.
	OrderKind string
	// CacheEventKind names a change of an engine's prefix cache.
	CacheEventKind string

	// RunSpec is one attempt of a request at an engine.
	RunSpec struct {
		Request   RequestID
		Attempt   AttemptID
		Workspace WorkspaceID
		Service   ServiceName
		Model     ModelName
		Version   ModelVersion
		Adapter   AdapterName
		Prompt    string
		MaxTokens TokenCount
		Priority  Priority
		// ResumeFrom is the number of tokens that the caller already has.
		ResumeFrom TokenCount
		// Delivered is the text of the tokens that the caller already has.
		Delivered string
		// CacheNonce, if not empty, separates the run's prefix cache from all others, so that it
		// uses no cached blocks of uncertain validity.
		CacheNonce string
	}

	// RunStream is the answer of one attempt; it is not safe for concurrent use.
	RunStream interface {
		// Next returns the next piece, io.EOF after the last one, or ErrIncomplete.
		Next(ctx context.Context) (Piece, error)
		// Close ends the stream and cancels the run if it is not finished.
		Close() error
	}

	// LoadReport is the load that an engine reports of itself; it lags behind the actual load.
	LoadReport struct {
		Running   int
		Waiting   int
		Versions  map[ModelName]ModelVersion
		Role      string
		Draining  bool
		CacheUsed ByteSize
		CacheSize ByteSize
		AsOf      time.Time
	}

	// CacheEvent is one change of an engine's prefix cache.
	CacheEvent struct {
		Sequence Sequence
		Kind     CacheEventKind
		Key      BlockKey
	}

	// CacheEventBatch is a page of cache events; the sequence may have gaps.
	CacheEventBatch struct {
		Events []CacheEvent
		Next   Sequence
	}

	// CacheSnapshot lists the blocks that an engine holds as of a sequence number.
	CacheSnapshot struct {
		AsOf Sequence
		Keys []BlockKey
	}

	// BlockImport instructs an engine to pull a pinned block from a store host.
	BlockImport struct {
		Key        BlockKey
		Generation Generation
		Checksum   Checksum
		Length     ByteSize
		Store      Address
	}

	// BlockExport instructs an engine to push a block to a store host.
	BlockExport struct {
		Key   BlockKey
		Store Address
	}

	// ImportResult lists the blocks that an engine imported and those it rejected.
	ImportResult struct {
		Imported []BlockKey
		Rejected []BlockKey
	}

	// Order is a fenced command to an upstream.
	Order struct {
		Kind    OrderKind
		Model   ModelName
		Version ModelVersion
		Adapter AdapterName
		Role    string
		Fence   FencingToken
		// Deadline is the time after which the upstream must not start the order.
		Deadline time.Time
		// Credential authenticates the order at upstreams that check it.
		Credential string
	}

	// Engine is a client of the model engines of one service.
	Engine interface {
		// Run starts an attempt; errors that match ErrNotRun mean that nothing ran.
		Run(ctx context.Context, at Address, spec RunSpec) (RunStream, error)
		// Cancel ends an attempt; an unknown attempt is no error.
		Cancel(ctx context.Context, at Address, attempt AttemptID) error
		// Load reads the engine's load report.
		Load(ctx context.Context, at Address) (LoadReport, error)
		// CacheEvents reads the events after a sequence number.
		CacheEvents(ctx context.Context, at Address, after Sequence) (CacheEventBatch, error)
		// CacheSnapshot reads the complete content of the prefix cache.
		CacheSnapshot(ctx context.Context, at Address) (CacheSnapshot, error)
		// Import instructs the engine to pull blocks; rejected blocks are not in its cache.
		Import(ctx context.Context, at Address, blocks []BlockImport) (ImportResult, error)
		// Export instructs the engine to push blocks.
		Export(ctx context.Context, at Address, blocks []BlockExport) error
		// Order sends a fenced command to the engine.
		Order(ctx context.Context, at Address, order Order) error
	}

	// PlainCall is one attempt of a call to a plain service.
	PlainCall struct {
		Request RequestID
		Attempt AttemptID
		Method  string
		// Path starts with a slash and may carry a query.
		Path   string
		Header http.Header
		Body   []byte
		Key    IdempotencyKey
		// FreshConnection forbids the use of a pooled connection.
		FreshConnection bool
	}

	// PlainAnswer is the complete answer of a plain service.
	PlainAnswer struct {
		Status int
		Header http.Header
		Body   []byte
		// EndsWithConnection is set if the answer has neither a length nor chunks, so that nothing in it shows its end.
		EndsWithConnection bool
	}

	// Plain is a client of plain services.
	Plain interface {
		// Call makes one attempt; errors that match ErrNotRun mean that no byte reached the service.
		Call(ctx context.Context, at Address, call PlainCall) (PlainAnswer, error)
	}
)
