package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/config"
)

func validEntry() config.Entry {
	entry := config.Defaults()
	entry.Host, entry.Region, entry.DataCentre = "entry-1", "punjab", "sialkot-1"
	entry.Caller, entry.Internal = "127.0.1.1:0", "127.0.1.1:7001"
	entry.Admin, entry.Metrics = "127.0.1.1:7002", "[::1]:7003"
	entry.Platform = "127.0.9.1:7100"
	entry.PeerSecret = "0123456789abcdef"
	entry.AdminKeys = []spoke.KeyHash{spoke.KeyHash(strings.Repeat("0a", 32))}
	entry.OrderCredential = "order-key"
	entry.Admission, entry.Routing, entry.Imports = config.AdmissionFIFO, config.RoutingRoundRobin, config.ImportsNever
	entry.DrainDelay = 250 * time.Millisecond
	entry.Peers = []config.Peer{{Host: "entry-2", DataCentre: "sialkot-2", Address: "127.0.2.1:7001"}}
	return entry
}

// TestSettingsRoundTrip guards against keys that Encode and Decode name differently.
func TestSettingsRoundTrip(t *testing.T) {
	text, err := config.Encode(validEntry())
	assert.NilError(t, err)
	decoded, err := config.Decode("entry.toml", text)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, validEntry())
}

// TestDecodeReportsAllFindings guards against findings that suppress others and against defaults for
// missing addresses.
func TestDecodeReportsAllFindings(t *testing.T) {
	const text = `
host-id = "entry-1"
region = 7
caller-address = "localhost:80"
internal-address = "127.0.0.1:7001"
admin-address = "127.0.0.1:7001"
platform-address = "127.0.0.1:0"
peer-secret = "short"
admin-key-hashes = ["ABCD", 3]
drain-delay = "5"
drain-deadline = "90m"
event-capacity = 0
log-level = "loud"
heartbeat-interval = "3s"
admission = "lifo"
imports = 1
typo = 1
[[peers]]
host-id = "entry-1"
adr = "127.0.0.1:1"
`
	_, err := config.Decode("e.toml", []byte(text))
	var report *check.Report
	assert.Assert(t, errors.As(err, &report))
	assert.Equal(t, err.Error(), strings.TrimSpace(`
e.toml: region: is int64, want a string
e.toml: admin-key-hashes: element 3 is int64, want a string
e.toml: log-level: "loud" is no log level such as "info"
e.toml: drain-delay: "5" is no duration such as "5s"
e.toml: imports: is int64, want a string
e.toml: peers[0].adr: is not a known key
e.toml: peers[0].data-centre: is empty
e.toml: peers[0].address: is empty
e.toml: typo: is not a known key
e.toml: data-centre: is empty
e.toml: caller-address: "localhost:80" is no IP number and port
e.toml: admin-address: "127.0.0.1:7001" is also the value of internal-address
e.toml: metrics-address: is empty
e.toml: platform-address: "127.0.0.1:0" has port 0
e.toml: peers: host-id "entry-1" is this host
e.toml: peer-secret: has 5 bytes, want at least 16
e.toml: admin-key-hashes: "ABCD" is no SHA-256 in lower-case hexadecimal
e.toml: order-credential: is empty
e.toml: drain-deadline: 1h30m0s is not between 1ms and 1h0m0s
e.toml: heartbeat-interval: 3s is not below suspect-after, which is 2s
e.toml: admission: "lifo" is none of ["fair" "fifo"]
e.toml: event-capacity: 0 is not between 1 and 1048576`))
}

// TestDecodeNamesLineOfSyntaxError guards against syntax errors without a line number.
func TestDecodeNamesLineOfSyntaxError(t *testing.T) {
	_, err := config.Decode("e.toml", []byte("host-id = \"a\"\nregion =\n"))
	assert.ErrorContains(t, err, "e.toml: line 2")
}

// FuzzDecode guards against panics and against valid settings that change in a round trip.
func FuzzDecode(f *testing.F) {
	text, err := config.Encode(validEntry())
	assert.NilError(f, err)
	f.Add(string(text))
	f.Add("peers = []\n")
	f.Add("[[peers]]\n[peers.host-id]\n")
	f.Add("event-capacity = 9223372036854775807\ndrain-delay = 1979-05-27\n")
	f.Add("peers = 1\nadmin-key-hashes = [[]]")
	f.Fuzz(func(t *testing.T, text string) {
		entry, err := config.Decode("fuzz.toml", []byte(text))
		if err != nil {
			var report *check.Report
			assert.Assert(t, errors.As(err, &report))
			return
		}
		encoded, err := config.Encode(entry)
		assert.NilError(t, err)
		again, err := config.Decode("again.toml", encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, entry)
	})
}
