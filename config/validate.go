package config

import (
	"encoding/hex"
	"net/netip"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	hashBytes = 32
	// maxEventCapacity is the number of events that take 128 MB, at 128 bytes per event, plus the
	// texts of the events. More would leave nothing of a host's memory budget of 128 MB for other
	// control state.
	maxEventCapacity = 1 << 20
	maxMaxProcessors = 1024
	// maxDuration bounds all durations, to detect values in a wrong unit.
	maxDuration = time.Hour
)

func validate(t *table, entry Entry) {
	requireName(t, keyHost, string(entry.Host))
	requireName(t, keyRegion, string(entry.Region))
	requireName(t, keyDataCentre, string(entry.DataCentre))
	validateListeners(t, entry)
	requireRemote(t, keyPlatform, entry.Platform)
	validatePeers(t, entry)
	validateCredentials(t, entry)
	validateTimes(t, entry)
	validatePolicies(t, entry)
	if entry.MaxProcessors < 1 || entry.MaxProcessors > maxMaxProcessors {
		t.report.Addf(t.at(keyMaxProcessors), "%d is not between 1 and %d", entry.MaxProcessors, maxMaxProcessors)
	}
	if entry.EventCapacity < 1 || entry.EventCapacity > maxEventCapacity {
		t.report.Addf(t.at(keyEventCapacity), "%d is not between 1 and %d", entry.EventCapacity, maxEventCapacity)
	}
}

func validateListeners(t *table, entry Entry) {
	listeners := []struct {
		key     string
		address spoke.Address
	}{
		{keyCaller, entry.Caller},
		{keyInternal, entry.Internal},
		{keyAdmin, entry.Admin},
		{keyMetrics, entry.Metrics},
	}
	seen := make(map[netip.AddrPort]string)
	for _, listener := range listeners {
		parsed, ok := requireAddress(t, listener.key, listener.address)
		if !ok || parsed.Port() == 0 {
			continue
		}
		if other, used := seen[parsed]; used {
			t.report.Addf(t.at(listener.key), "%q is also the value of %s", listener.address, other)
		}
		seen[parsed] = listener.key
	}
}

func validatePeer(t *table, peer Peer) {
	requireName(t, keyHost, string(peer.Host))
	requireName(t, keyDataCentre, string(peer.DataCentre))
	requireRemote(t, keyAddress, peer.Address)
}

func validatePeers(t *table, entry Entry) {
	seen := make(map[spoke.HostID]bool)
	for _, peer := range entry.Peers {
		if peer.Host != "" && peer.Host == entry.Host {
			t.report.Addf(t.at(keyPeers), "host-id %q is this host", peer.Host)
		}
		if peer.Host != "" && seen[peer.Host] {
			t.report.Addf(t.at(keyPeers), "host-id %q is listed more than once", peer.Host)
		}
		seen[peer.Host] = true
	}
}

func validateCredentials(t *table, entry Entry) {
	if length := len(entry.PeerSecret); length < MinSecretLength {
		t.report.Addf(t.at(keyPeerSecret), "has %d bytes, want at least %d", length, MinSecretLength)
	}
	if len(entry.AdminKeys) == 0 {
		t.report.Addf(t.at(keyAdminKeys), "is empty")
	}
	for _, hash := range entry.AdminKeys {
		raw, err := hex.DecodeString(string(hash))
		if err != nil || len(raw) != hashBytes || hex.EncodeToString(raw) != string(hash) {
			t.report.Addf(t.at(keyAdminKeys), "%q is no SHA-256 in lower-case hexadecimal", hash)
		}
	}
	if entry.OrderCredential == "" {
		t.report.Addf(t.at(keyOrderCredential), "is empty")
	}
}

func validateTimes(t *table, entry Entry) {
	requireDuration(t, keyDrainDelay, entry.DrainDelay, 0)
	requireDuration(t, keyDrainDeadline, entry.DrainDeadline, time.Millisecond)
	requireDuration(t, keyHeartbeat, entry.HeartbeatInterval, time.Millisecond)
	requireDuration(t, keySuspectAfter, entry.SuspectAfter, time.Millisecond)
	requireDuration(t, keyRemoveAfter, entry.RemoveAfter, time.Millisecond)
	requireBelow(t, keyDrainDelay, entry.DrainDelay, keyDrainDeadline, entry.DrainDeadline)
	requireBelow(t, keyHeartbeat, entry.HeartbeatInterval, keySuspectAfter, entry.SuspectAfter)
	requireBelow(t, keySuspectAfter, entry.SuspectAfter, keyRemoveAfter, entry.RemoveAfter)
}

func requireName(t *table, key, name string) {
	if name == "" && !t.mistyped[key] {
		t.report.Addf(t.at(key), "is empty")
	}
}

func requireAddress(t *table, key string, address spoke.Address) (netip.AddrPort, bool) {
	if address == "" {
		requireName(t, key, "")
		return netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		t.report.Addf(t.at(key), "%q is no IP number and port", address)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

// requireRemote checks an address that this host connects to, which must not have port 0.
func requireRemote(t *table, key string, address spoke.Address) {
	parsed, ok := requireAddress(t, key, address)
	if ok && parsed.Port() == 0 {
		t.report.Addf(t.at(key), "%q has port 0", address)
	}
}

func requireDuration(t *table, key string, value, least time.Duration) {
	if value < least || value > maxDuration {
		t.report.Addf(t.at(key), "%v is not between %v and %v", value, least, maxDuration)
	}
}

func requireBelow(t *table, lowKey string, low time.Duration, highKey string, high time.Duration) {
	if low >= high {
		t.report.Addf(t.at(lowKey), "%v is not below %s, which is %v", low, highKey, high)
	}
}
