package config

import (
	"net/netip"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/evac"
	"magnoliaspoke.example/spoke/home"
)

const (
	keyReadiness    = "readiness-address"
	keyPeerPort     = "peer-port"
	keyStore        = "store-address"
	keyMemory       = "memory-limit-mb"
	keyDescriptors  = "descriptor-limit"
	keyConfigApply  = "config-apply-ms"
	keyWeightsApply = "weights-apply-ms"
	keyOrdersPause  = "orders-pause-ms"
	keyLeaveNotice  = "leave-notice-ms"
	keyStopGrace    = "stop-grace-s"
	keyRetryShare   = "retry-share"
	keyRetryReserve = "retry-reserve"
	keyRetryWindow  = "retry-window-s"
	keyColdFactor   = "cold-over"
	keyColdSlack    = "cold-slack"
	keyMetricsPort  = "metrics-port"
	keyEvacuation   = "evacuation-apply-ms"
	keyRegions      = "regions"
	keySpeed        = "compare-upstream-speed"
	maxPort         = 65535

	defaultColdFactor = 1.5
	defaultColdSlack  = 5
)

// Relay holds the settings of an entry host that relays calls on a platform without interpreting their
// content.
type Relay struct {
	Host       spoke.HostID
	DataCentre spoke.DataCentreID
	Address    netip.Addr
	Caller     spoke.Address
	Readiness  spoke.Address
	Store      spoke.Address
	// PeerPort is the UDP port on which hosts exchange load reports and the TCP port on which they
	// exchange changes of the directory.
	PeerPort int
	// MetricsPort is zero if no metrics are served.
	MetricsPort int
	Memory      spoke.ByteSize
	// Descriptors is the maximum number of open files and sockets.
	Descriptors int
	// ConfigApply is the time within which a new routing table must be in force.
	ConfigApply time.Duration
	// WeightsApply is the time for which calls may still start on older weights after a change of
	// the wanted weights.
	WeightsApply time.Duration
	// OrdersPause is the minimum time between the orders of two successive holders of the orders lease.
	OrdersPause time.Duration
	// LeaveNotice is how long a leaving upstream still accepts calls.
	LeaveNotice time.Duration
	// StopGrace is the time between the stop signal and the forced termination of the process.
	StopGrace time.Duration
	// RetryShare is the number of retries per call that all hosts together may send within RetryWindow.
	RetryShare spoke.Share
	// RetryReserve is the number of retries that all hosts together may send within RetryWindow
	// in addition, regardless of the number of calls.
	RetryReserve int
	RetryWindow  time.Duration
	// EvacuationApply is the time within which all hosts must have applied an evacuation.
	EvacuationApply time.Duration
	// ComparesSpeed makes placement follow differences in the speed of upstreams.
	ComparesSpeed bool
	// Regions holds the region of each data centre, also that of this host if the settings state it.
	Regions home.Regions
	// ColdFactor, a factor of its rate, and ColdSlack, a number of requests, bound what all hosts together send to a cold
	// upstream within a second.
	ColdFactor float64
	ColdSlack  float64
}

// LoadRelay reads and validates a settings file. The error is a *check.Report if the content is invalid.
func LoadRelay(path string) (Relay, error) {
	return load(path, DecodeRelay)
}

// DecodeRelay decodes and validates settings. The error is a *check.Report of all findings, which
// name file as their source.
func DecodeRelay(file string, text []byte) (Relay, error) {
	var report check.Report
	root, ok := parse(file, text, &report)
	if !ok {
		return Relay{}, report.Err()
	}
	relay := readRelay(root)
	root.finish()
	if err := report.Err(); err != nil {
		return Relay{}, err
	}
	return relay, nil
}

func readRelay(t *table) Relay {
	relay := Relay{
		Host:         spoke.HostID(t.required(keyHost)),
		DataCentre:   spoke.DataCentreID(t.required(keyDataCentre)),
		Caller:       t.address(keyCaller),
		Readiness:    t.address(keyReadiness),
		Store:        t.address(keyStore),
		PeerPort:     int(t.number(keyPeerPort, 1, maxPort)),
		Memory:       spoke.ByteSize(t.number(keyMemory, 1, 1<<20)) << 20,
		Descriptors:  int(t.number(keyDescriptors, 1, 1<<24)),
		ConfigApply:  t.milliseconds(keyConfigApply),
		WeightsApply: t.milliseconds(keyWeightsApply),
		OrdersPause:  t.milliseconds(keyOrdersPause),
		LeaveNotice:  t.milliseconds(keyLeaveNotice),
		StopGrace:    time.Duration(t.number(keyStopGrace, 0, 1<<20) * float64(time.Second)),
		RetryShare:   spoke.Share(t.number(keyRetryShare, 0, 100)),
		RetryReserve: int(t.number(keyRetryReserve, 0, 1<<20)),
		RetryWindow:  time.Duration(t.number(keyRetryWindow, 1, 1<<20) * float64(time.Second)),
	}
	relay.ColdFactor, relay.ColdSlack = defaultColdFactor, defaultColdSlack
	if t.has(keyColdFactor) {
		relay.ColdFactor = t.number(keyColdFactor, 0, 1<<20)
	}
	if t.has(keyColdSlack) {
		relay.ColdSlack = t.number(keyColdSlack, 0, 1<<20)
	}
	if t.has(keyMetricsPort) {
		relay.MetricsPort = int(t.number(keyMetricsPort, 0, maxPort))
	}
	if t.has(keySpeed) {
		relay.ComparesSpeed = typedValue[bool](t, keySpeed, "a boolean")
	}
	relay.EvacuationApply = evac.DefaultApply
	if t.has(keyEvacuation) {
		relay.EvacuationApply = t.milliseconds(keyEvacuation)
	}
	relay.Regions = readRegions(t, relay.DataCentre)
	if caller, err := netip.ParseAddrPort(string(relay.Caller)); err == nil {
		relay.Address = caller.Addr()
	}
	return relay
}

// readRegions returns the regions of data centres. That of this host's one may also be stated on its own.
func readRegions(t *table, dataCentre spoke.DataCentreID) home.Regions {
	regions := make(home.Regions)
	if own := t.text(keyRegion); own != "" {
		regions[dataCentre] = spoke.RegionID(own)
	}
	inner := newTable(t.prefix+keyRegions+".", typedValue[map[string]any](t, keyRegions, "a table"), t.report)
	for name := range inner.values {
		regions[spoke.DataCentreID(name)] = spoke.RegionID(inner.text(name))
	}
	return regions
}

func (t *table) required(key string) string {
	text := t.text(key)
	if text == "" && !t.mistyped[key] {
		t.report.Addf(t.at(key), "is missing")
	}
	return text
}

func (t *table) address(key string) spoke.Address {
	text := t.required(key)
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		t.report.Addf(t.at(key), "%q is no IP number and port", text)
	}
	return spoke.Address(text)
}

// number returns an integer or floating-point value between lowest and highest.
func (t *table) number(key string, lowest, highest float64) float64 {
	t.read[key] = true
	var found float64
	switch value := t.values[key].(type) {
	case nil:
		t.report.Addf(t.at(key), "is missing")
		return lowest
	case int64:
		found = float64(value)
	case float64:
		found = value
	default:
		t.wrongType(key, "a number")
		return lowest
	}
	if !(found >= lowest && found <= highest) {
		t.report.Addf(t.at(key), "%v is not between %v and %v", found, lowest, highest)
		return lowest
	}
	return found
}

func (t *table) milliseconds(key string) time.Duration {
	return time.Duration(t.number(key, 0, 1<<40) * float64(time.Millisecond))
}
