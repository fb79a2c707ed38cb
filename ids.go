package spoke

import (
	"encoding/hex"

	"github.com/rotisserie/eris"
)

type (
	// HostID names an entry host.
	HostID string
	// DataCentreID names a data centre.
	DataCentreID string
	// RegionID names a group of data centres.
	RegionID string
	// UpstreamID names a model engine or a plain service instance.
	UpstreamID string
	// StoreHostID names a store host of the cache tiers.
	StoreHostID string
	// WorkspaceID names a workspace, the unit of isolation between customers.
	WorkspaceID string
	// ServiceName names a service that callers address.
	ServiceName string
	// ModelName names a model of a language service.
	ModelName string
	// ModelVersion names one set of weights of a model.
	ModelVersion string
	// SoftwareVersion names a version of an upstream's software, which has no order; empty means unknown.
	SoftwareVersion string
	// AdapterName names an adapter of a model; it is empty for the base model.
	AdapterName string
	// RankName names a request rank.
	RankName string
	// RequestID identifies one request of a caller across all hosts.
	RequestID string
	// AttemptID identifies one attempt of a request at one upstream.
	AttemptID string
	// IdempotencyKey is the caller's key of a non-repeatable request.
	IdempotencyKey string
	// Fingerprint identifies a workspace and request content.
	Fingerprint string
	// LeaseName names a lease of the key-value service.
	LeaseName string
	// Address is an IP number and port in the form host:port.
	Address string
	// KeyHash is the SHA-256 of an API key in lower-case hexadecimal.
	KeyHash string
	// Checksum is the SHA-256 of a block's content in lower-case hexadecimal.
	Checksum string

	// TicketNumber orders change tickets; zero means that no ticket is in force.
	TicketNumber uint64
	// Revision is the version of a key in the key-value service, or of the whole directory; zero means absent.
	// Revisions of a later era are higher.
	Revision uint64
	// Era counts how often a service has returned from an older copy, after which it gives out revisions again.
	Era uint64
	// FencingToken orders the successive holders of a lease.
	FencingToken uint64
	// Incarnation orders the process starts of one host, which raises its incarnation if peers
	// report a higher one.
	Incarnation uint64
	// Generation orders the committed contents of a block on a store host.
	Generation uint64
	// ClockID tells the clocks of a host's process starts apart; zero means that there is none.
	ClockID uint64
	// Sequence numbers the cache events of one upstream.
	Sequence uint64

	// TokenCount is a number of tokens.
	TokenCount int64
	// ByteSize is a number of bytes.
	ByteSize int64
	// TokenRate is in tokens per second.
	TokenRate float64
	// ByteRate is in bytes per second.
	ByteRate float64
	// RequestRate is in requests per second.
	RequestRate float64
	// Share is a fraction. It is between 0 and 1, except for the retry share, which the settings accept
	// up to 100.
	Share float64
	// Priority orders runs at an engine; lower values run first.
	Priority int

	// BlockKey identifies a cache block by the prompt prefix that ends with it.
	BlockKey [32]byte
)

const (
	// countBits is the number of bits of a revision below its era. Eras up to 8,191 keep revisions, and the fencing
	// tokens made of them, below 2^53, up to which JSON numbers are exact.
	countBits = 40
	maxCount  = 1<<countBits - 1
)

const (
	// BytesPerToken is the assumed size of a token of prompt text.
	BytesPerToken ByteSize = 4
	// PieceSize is the size of the prompt text that one cache block covers, about 4,000 tokens.
	PieceSize ByteSize = 16384
	// PieceTokens is the number of tokens that one cache block covers.
	PieceTokens TokenCount = TokenCount(PieceSize / BytesPerToken)
)

// NewRevision returns the revision that a service in the given era calls count.
func NewRevision(era Era, count uint64) Revision {
	return Revision(uint64(era)<<countBits | count&maxCount)
}

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> countBits) }

// Count returns the revision as the service calls it.
func (r Revision) Count() uint64 { return uint64(r) & maxCount }

// String returns the key in lower-case hexadecimal.
func (k BlockKey) String() string {
	return hex.EncodeToString(k[:])
}

// ParseBlockKey parses a key of 64 hexadecimal digits.
func ParseBlockKey(text string) (BlockKey, error) {
	var key BlockKey
	raw, err := hex.DecodeString(text)
	if err != nil {
		return key, eris.Wrapf(err, "block key %q", text)
	}
	if len(raw) != len(key) {
		return key, eris.Errorf("block key %q has %d bytes, want %d", text, len(raw), len(key))
	}
	copy(key[:], raw)
	return key, nil
}

// EstimateTokens estimates the number of tokens of a text by its size.
func EstimateTokens(text string) TokenCount {
	return TokenCount((ByteSize(len(text)) + BytesPerToken - 1) / BytesPerToken)
}
