package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

// Load reads and validates a settings file. The error is a *check.Report if the content is invalid.
func Load(path string) (Entry, error) {
	return load(path, Decode)
}

// load reads a settings file and decodes it with decode.
func load[T any](path string, decode func(file string, text []byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, eris.Wrapf(err, "read settings %q", path)
	}
	return decode(path, text)
}

// Decode decodes and validates settings. The error is a *check.Report of all findings, which name
// file as their source.
func Decode(file string, text []byte) (Entry, error) {
	var report check.Report
	root, ok := parse(file, text, &report)
	if !ok {
		return Entry{}, report.Err()
	}
	entry := readEntry(root)
	entry.Peers = readPeers(root)
	root.finish()
	validate(root, entry)
	if err := report.Err(); err != nil {
		return Entry{}, err
	}
	return entry, nil
}

// parse returns the root table of settings. If the text is not valid TOML, it adds that as the only
// finding and returns false.
func parse(file string, text []byte, report *check.Report) (*table, bool) {
	values := make(map[string]any)
	if _, err := toml.Decode(string(text), &values); err != nil {
		report.Addf(file, "%s", describeSyntax(err))
		return nil, false
	}
	return newTable(file+": ", values, report), true
}

func readEntry(t *table) Entry {
	entry := Defaults()
	entry.Host = spoke.HostID(t.text(keyHost))
	entry.Region = spoke.RegionID(t.text(keyRegion))
	entry.DataCentre = spoke.DataCentreID(t.text(keyDataCentre))
	entry.Caller = spoke.Address(t.text(keyCaller))
	entry.Internal = spoke.Address(t.text(keyInternal))
	entry.Admin = spoke.Address(t.text(keyAdmin))
	entry.Metrics = spoke.Address(t.text(keyMetrics))
	entry.Platform = spoke.Address(t.text(keyPlatform))
	entry.PeerSecret = Secret(t.text(keyPeerSecret))
	for _, hash := range t.texts(keyAdminKeys) {
		entry.AdminKeys = append(entry.AdminKeys, spoke.KeyHash(hash))
	}
	entry.OrderCredential = Secret(t.text(keyOrderCredential))
	entry.LogLevel = readLevel(t, entry.LogLevel)
	t.duration(keyDrainDelay, &entry.DrainDelay)
	t.duration(keyDrainDeadline, &entry.DrainDeadline)
	t.integer(keyEventCapacity, &entry.EventCapacity)
	t.integer(keyMaxProcessors, &entry.MaxProcessors)
	t.duration(keyHeartbeat, &entry.HeartbeatInterval)
	t.duration(keySuspectAfter, &entry.SuspectAfter)
	t.duration(keyRemoveAfter, &entry.RemoveAfter)
	readPolicy(t, keyAdmission, &entry.Admission)
	readPolicy(t, keyRouting, &entry.Routing)
	readPolicy(t, keyImports, &entry.Imports)
	return entry
}

func readPolicy(t *table, key string, target *Policy) {
	text := t.text(key)
	if t.has(key) && !t.mistyped[key] {
		*target = Policy(text)
	}
}

func readLevel(t *table, level logrus.Level) logrus.Level {
	text := t.text(keyLogLevel)
	if text == "" {
		return level
	}
	parsed, err := logrus.ParseLevel(text)
	if err != nil {
		t.report.Addf(t.at(keyLogLevel), "%q is no log level such as \"info\"", text)
		return level
	}
	return parsed
}

func readPeers(t *table) []Peer {
	var peers []Peer
	for i, values := range t.tables(keyPeers) {
		inner := newTable(fmt.Sprintf("%s%s[%d].", t.prefix, keyPeers, i), values, t.report)
		peer := Peer{
			Host:       spoke.HostID(inner.text(keyHost)),
			DataCentre: spoke.DataCentreID(inner.text(keyDataCentre)),
			Address:    spoke.Address(inner.text(keyAddress)),
		}
		inner.finish()
		validatePeer(inner, peer)
		peers = append(peers, peer)
	}
	return peers
}

func describeSyntax(err error) string {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("line %d: %s", syntax.Position.Line, syntax.Message)
	}
	return err.Error()
}
