package model

import (
	"net/http"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	defaultPrefillRate spoke.TokenRate = 20_000
	defaultDecodeRate  spoke.TokenRate = 60
	// defaultSlowdown makes each run in a batch of 16 decode at about 60% of the rate of a single run.
	defaultSlowdown                  = 0.04
	defaultMaxBatch                  = 16
	defaultMaxWaiting                = 256
	defaultBlockSize  spoke.ByteSize = 64 << 10
	defaultCacheSize  spoke.ByteSize = 256 * defaultBlockSize
)

type (
	// Option changes a setting of an Engine.
	Option func(*settings)

	settings struct {
		clock         spoke.Timer
		versions      map[spoke.ModelName]spoke.ModelVersion
		prefillRate   spoke.TokenRate
		decodeRate    spoke.TokenRate
		slowdown      float64
		maxBatch      int
		maxWaiting    int
		cacheSize     spoke.ByteSize
		blockSize     spoke.ByteSize
		eventDelay    time.Duration
		eventLoss     spoke.Share
		seed          uint64
		loadLag       time.Duration
		swapTime      time.Duration
		ignoreFencing bool
		authorization string
		crashMarker   string
		onCrash       func()
		client        *http.Client
	}
)

func newSettings(opts []Option) settings {
	set := settings{
		clock:       timer.NewSystem(),
		versions:    make(map[spoke.ModelName]spoke.ModelVersion),
		prefillRate: defaultPrefillRate,
		decodeRate:  defaultDecodeRate,
		slowdown:    defaultSlowdown,
		maxBatch:    defaultMaxBatch,
		maxWaiting:  defaultMaxWaiting,
		cacheSize:   defaultCacheSize,
		blockSize:   defaultBlockSize,
		client:      &http.Client{},
	}
	for _, opt := range opts {
		opt(&set)
	}
	return set
}

// WithTimer sets the clock that the engine uses; the default is the system clock.
func WithTimer(clock spoke.Timer) Option { return func(s *settings) { s.clock = clock } }

// WithModel adds a model that is loaded at the given version.
func WithModel(name spoke.ModelName, version spoke.ModelVersion) Option {
	return func(s *settings) { s.versions[name] = version }
}

// WithPrefillRate sets the engine's prefill rate in prompt tokens per second; zero means no limit.
func WithPrefillRate(rate spoke.TokenRate) Option { return func(s *settings) { s.prefillRate = rate } }

// WithDecodeRate sets the decode rate of a single run in tokens per second; zero means no limit.
func WithDecodeRate(rate spoke.TokenRate) Option { return func(s *settings) { s.decodeRate = rate } }

// WithSlowdown sets the fraction of the time per token that each further run in the batch adds.
func WithSlowdown(share float64) Option { return func(s *settings) { s.slowdown = share } }

// WithMaxBatch sets the maximum number of concurrent runs.
func WithMaxBatch(runs int) Option { return func(s *settings) { s.maxBatch = runs } }

// WithMaxWaiting sets the maximum number of waiting runs; further runs are refused as busy.
func WithMaxWaiting(runs int) Option { return func(s *settings) { s.maxWaiting = runs } }

// WithCache sets the size of the prefix cache and of one block in bytes.
func WithCache(size, block spoke.ByteSize) Option {
	return func(s *settings) { s.cacheSize, s.blockSize = size, block }
}

// WithEvents sets the delay of cache events and the fraction that is dropped at random with the seed.
func WithEvents(delay time.Duration, loss spoke.Share, seed uint64) Option {
	return func(s *settings) { s.eventDelay, s.eventLoss, s.seed = delay, loss, seed }
}

// WithLoadLag sets the age of load reports.
func WithLoadLag(lag time.Duration) Option { return func(s *settings) { s.loadLag = lag } }

// WithSwapTime sets how long loading a version takes.
func WithSwapTime(swap time.Duration) Option { return func(s *settings) { s.swapTime = swap } }

// WithoutFencing makes the engine execute orders with outdated fencing tokens.
func WithoutFencing() Option { return func(s *settings) { s.ignoreFencing = true } }

// WithAuthorization makes the engine refuse orders that lack the credential.
func WithAuthorization(credential string) Option {
	return func(s *settings) { s.authorization = credential }
}

// WithCrash makes the engine crash when it starts a run whose prompt contains the marker: it
// closes all connections and then calls onCrash, which may be nil.
func WithCrash(marker string, onCrash func()) Option {
	return func(s *settings) { s.crashMarker, s.onCrash = marker, onCrash }
}

// WithClient sets the HTTP client that transfers blocks from and to store hosts.
func WithClient(client *http.Client) Option { return func(s *settings) { s.client = client } }
