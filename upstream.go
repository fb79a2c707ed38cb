package spoke

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// OrderLoadVersion makes an engine swap to a weight version.
	OrderLoadVersion OrderKind = "load-version"
	// OrderLoadAdapter makes an engine load an adapter.
	OrderLoadAdapter OrderKind = "load-adapter"
	// OrderSetRole makes an engine change its role.
	OrderSetRole OrderKind = "set-role"

	// BlockStored reports that an engine now holds a block.
	BlockStored CacheEventKind = "stored"
	// BlockEvicted reports that an engine no longer holds a block.
	BlockEvicted CacheEventKind = "evicted"
)

var (
	// ErrNotRun marks failures where the upstream did not start the work.
	ErrNotRun = eris.New("not run by the upstream")
	// ErrWrongVersion marks a run refused because the engine serves another version.
	ErrWrongVersion = eris.New("upstream serves another model version")
	// ErrDraining marks work refused because the upstream is leaving.
	ErrDraining = eris.New("upstream is draining")
	// ErrBusy marks work refused because the upstream is at its limit.
	ErrBusy = eris.New("upstream is busy")
	// ErrStaleFence marks an order refused for its old fencing token.
	ErrStaleFence = eris.New("stale fencing token")
	// ErrNotAuthorized marks an order refused for its credentials.
	ErrNotAuthorized = eris.New("order not authorized")
	// ErrIncomplete marks a stream that closed without its end mark.
	ErrIncomplete = eris.New("stream closed without end mark")
	// ErrSilent marks a connection that stayed silent beyond its idle limit.
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
		// CacheNonce, if not empty, gives the run a prefix cache of its own, away from blocks
		// in doubt.
		CacheNonce string
	}

	// RunStream is the answer of one attempt; it belongs to one goroutine.
	RunStream interface {
		// Next returns the next piece, io.EOF after the last one, or ErrIncomplete.
		Next(ctx context.Context) (Piece, error)
		// Close ends the stream and cancels the run if it is not finished.
		Close() error
	}

	// LoadReport is an engine's lagging account of itself.
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

	// CacheEventBatch is a page of cache events; events may be missing.
	CacheEventBatch struct {
		Events []CacheEvent
		Next   Sequence
	}

	// CacheSnapshot lists the blocks that an engine holds as of a sequence number.
	CacheSnapshot struct {
		AsOf Sequence
		Keys []BlockKey
	}

	// BlockImport tells an engine to pull a pinned block from a store host.
	BlockImport struct {
		Key        BlockKey
		Generation Generation
		Checksum   Checksum
		Length     ByteSize
		Store      Address
	}

	// BlockExport tells an engine to push a block to a store host.
	BlockExport struct {
		Key   BlockKey
		Store Address
	}

	// ImportResult lists which blocks an engine took and which it rejected.
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
		// Credential authenticates the order where the upstream checks it.
		Credential string
	}

	// Engine talks to the model engines of one service.
	Engine interface {
		// Run starts an attempt; errors that match ErrNotRun mean that nothing ran.
		Run(ctx context.Context, at Address, spec RunSpec) (RunStream, error)
		// Cancel ends an attempt; an unknown attempt is no error.
		Cancel(ctx context.Context, at Address, attempt AttemptID) error
		// Load reads the engine's load report.
		Load(ctx context.Context, at Address) (LoadReport, error)
		// CacheEvents reads the events after a sequence number.
		CacheEvents(ctx context.Context, at Address, after Sequence) (CacheEventBatch, error)
		// CacheSnapshot reads the whole content of the prefix cache.
		CacheSnapshot(ctx context.Context, at Address) (CacheSnapshot, error)
		// Import makes the engine pull blocks; rejected blocks are not in its cache.
		Import(ctx context.Context, at Address, blocks []BlockImport) (ImportResult, error)
		// Export makes the engine push blocks.
		Export(ctx context.Context, at Address, blocks []BlockExport) error
		// Order gives a fenced command.
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

	// PlainAnswer is the whole answer of a plain service.
	PlainAnswer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Plain talks to plain services.
	Plain interface {
		// Call makes one attempt; errors that match ErrNotRun mean that no byte reached the service.
		Call(ctx context.Context, at Address, call PlainCall) (PlainAnswer, error)
	}
)
