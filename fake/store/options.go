package store

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	defaultMemory spoke.ByteSize = 64 << 20
	defaultDisk   spoke.ByteSize = 256 << 20
	// maxBlockBytes limits the body of one write.
	maxBlockBytes spoke.ByteSize = 64 << 20
	// maxPin is the longest time for which one pin protects a block from eviction.
	maxPin = 5 * time.Minute
)

type (
	// Option changes a setting of a Host.
	Option func(*settings)

	settings struct {
		clock    spoke.Timer
		memory   spoke.ByteSize
		disk     spoke.ByteSize
		linkRate spoke.ByteRate
		diskRate spoke.ByteRate
	}
)

func newSettings(opts []Option) settings {
	set := settings{clock: timer.NewSystem(), memory: defaultMemory, disk: defaultDisk}
	for _, opt := range opts {
		opt(&set)
	}
	return set
}

// WithTimer sets the clock for transfer rates and pin expiry; the default is the system clock.
func WithTimer(clock spoke.Timer) Option { return func(s *settings) { s.clock = clock } }

// WithTiers sets the sizes of the memory and the disk tier in bytes.
func WithTiers(memory, disk spoke.ByteSize) Option {
	return func(s *settings) { s.memory, s.disk = memory, disk }
}

// WithLinkRate limits the total rate of all transfers, in bytes per second; zero means no limit.
func WithLinkRate(rate spoke.ByteRate) Option { return func(s *settings) { s.linkRate = rate } }

// WithDiskRate limits the total rate of reads from the disk tier, in bytes per second; zero means no limit.
func WithDiskRate(rate spoke.ByteRate) Option { return func(s *settings) { s.diskRate = rate } }
