package fleet_test

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
)

func plan(t *testing.T) fleet.Plan {
	t.Helper()
	t.Setenv(programVariable, "1")
	return fleet.Plan{
		EntryProgram:   os.Args[0],
		StandinProgram: os.Args[0],
		Directory:      t.TempDir(),
		Lifetime:       testTimeout,
		Objects:        []spoke.Object{spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage}},
		DataCentres: []fleet.DataCentre{
			{
				ID: "one", Region: "r", Hosts: []fleet.Host{{ID: "one-a"}, {ID: "one-b"}},
				Upstreams: []fleet.Upstream{{ID: "engine-1", Service: "quotes", Kind: fleet.KindEngine, Relayed: true}},
				Stores:    []fleet.Store{{ID: "store-1", Service: "quotes", Memory: 1 << 20}},
			},
			{ID: "two", Region: "r", Hosts: []fleet.Host{{ID: "two-a"}}},
		},
	}
}

func launch(t *testing.T, p fleet.Plan) *fleet.Setup {
	t.Helper()
	setup, err := fleet.Launch(boundedContext(t), p)
	assert.NilError(t, err)
	t.Cleanup(setup.Close)
	return setup
}

func loadSettings(t *testing.T, p fleet.Plan, host string) config.Entry {
	t.Helper()
	entry, err := config.Load(filepath.Join(p.Directory, host+".toml"))
	assert.NilError(t, err)
	return entry
}

// greeting returns the text that the process at an address sends on a new connection, or the
// error of the connection.
func greeting(address spoke.Address) (string, error) {
	conn, err := net.Dial("tcp", string(address))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		return "", err
	}
	text, err := io.ReadAll(conn)
	return string(text), err
}

// waitGreeting waits until an address answers with the wanted text. An empty text stands for
// an address at which no process can be reached.
func waitGreeting(t *testing.T, address spoke.Address, want string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text, err := greeting(address)
		if text == want && (err == nil) == (want != "") {
			return poll.Success()
		}
		return poll.Continue("%s sent %q, error %v", address, text, err)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

// Guards against settings whose addresses bypass the relays, so that a cut has no effect.
func TestLinksFailIndependently(t *testing.T) {
	p := plan(t)
	setup := launch(t, p)
	settingsOne, settingsTwo := loadSettings(t, p, "one-a"), loadSettings(t, p, "two-a")
	assert.Equal(t, len(settingsOne.Peers), 2)
	assert.Equal(t, settingsOne.Peers[0].Host, spoke.HostID("one-b"))
	neighbour, remote := settingsOne.Peers[0].Address, settingsOne.Peers[1].Address
	waitGreeting(t, neighbour, "one-b")
	waitGreeting(t, remote, "two-a")

	link, err := setup.Link("two", "one")
	assert.NilError(t, err)
	link.Cut()
	waitGreeting(t, remote, "")
	waitGreeting(t, settingsTwo.Peers[0].Address, "")
	waitGreeting(t, neighbour, "one-b")
	waitGreeting(t, settingsOne.Platform, fleet.PlatformName)
	link.Restore()
	waitGreeting(t, remote, "two-a")

	platform, err := setup.Link("one", fleet.PlatformName)
	assert.NilError(t, err)
	platform.Cut()
	waitGreeting(t, settingsOne.Platform, "")
	waitGreeting(t, settingsTwo.Platform, fleet.PlatformName)
	_, err = setup.Link("one", "three")
	assert.ErrorIs(t, err, fleet.ErrUnknownLink)
}

// Guards against addresses that are no longer valid after a process restarts.
func TestAddressesStayValidAfterRestart(t *testing.T) {
	p := plan(t)
	setup := launch(t, p)
	ticket, err := setup.Ticket(1, "ops")
	assert.NilError(t, err)
	assert.Equal(t, len(ticket.Objects), 3)
	engine := ticket.Objects[1].(spoke.Upstream)
	store := ticket.Objects[2].(spoke.StoreHost)
	peer := loadSettings(t, p, "one-a").Peers[0].Address
	for name, address := range map[string]spoke.Address{
		"engine-1": engine.Address, "store-1": store.Address, "one-b": peer,
	} {
		waitGreeting(t, address, name)
		process, err := setup.Process(name)
		assert.NilError(t, err)
		process.Kill()
		waitGreeting(t, address, "")
		assert.NilError(t, setup.Start(boundedContext(t), name))
		waitGreeting(t, address, name)
	}
}

// Guards against direct peers whose settings list no other host.
func TestDirectPeersListOtherHosts(t *testing.T) {
	p := plan(t)
	p.DirectPeers = true
	setup := launch(t, p)
	first, err := setup.Process("one-a")
	assert.NilError(t, err)
	peers := loadSettings(t, p, "one-b").Peers
	assert.Equal(t, peers[0].Address, first.Address(ready.Internal))
	assert.Equal(t, len(loadSettings(t, p, "one-a").Peers), 1)
}

// Guards against a failed launch that leaves processes running or omits validation findings.
func TestFailedLaunchLeavesNoProcesses(t *testing.T) {
	p := plan(t)
	p.DataCentres[1].Hosts[0].Tune = func(entry *config.Entry) { entry.Platform = "" }
	_, err := fleet.Launch(boundedContext(t), p)
	assert.ErrorContains(t, err, "platform-address: is empty")

	p.EntryProgram = ""
	p.DataCentres[1].Hosts[0].ID = "one-a"
	_, err = fleet.Launch(boundedContext(t), p)
	assert.ErrorContains(t, err, "entry-program: is empty\n")
	assert.ErrorContains(t, err, `name "one-a" is also used by data-centre one: host`)
}

// Guards against misspelt keys in plan files that are silently ignored.
func TestDecodePlanReportsUnknownKeys(t *testing.T) {
	decoded, err := fleet.DecodePlan("plan.toml", []byte("[[data-centres]]\nid = \"one\"\nhosts = [\"a\", \"b\"]\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.DataCentres[0].Hosts[1].ID, spoke.HostID("b"))
	_, err = fleet.DecodePlan("plan.toml", []byte("relays = 1\n[[data-centres]]\nhost = []\n"))
	assert.Error(t, err, "plan.toml: relays: is not a known key\nplan.toml: data-centres.host: is not a known key")
}
