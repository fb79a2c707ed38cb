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
		Lifetime:       limit,
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
	setup, err := fleet.Launch(bounded(t), p)
	assert.NilError(t, err)
	t.Cleanup(setup.Close)
	return setup
}

func settings(t *testing.T, p fleet.Plan, host string) config.Entry {
	t.Helper()
	entry, err := config.Load(filepath.Join(p.Directory, host+".toml"))
	assert.NilError(t, err)
	return entry
}

// greeting returns what the process behind an address sends, or the error.
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

func waitGreeting(t *testing.T, address spoke.Address, want string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text, err := greeting(address)
		if text == want && (err == nil) == (want != "") {
			return poll.Success()
		}
		return poll.Continue("%s says %q, %v", address, text, err)
	}, poll.WithTimeout(limit), poll.WithDelay(time.Millisecond))
}

// Guards against settings that lead past the relays, so that a cut would cut nothing.
func TestLinksFailOneByOne(t *testing.T) {
	p := plan(t)
	setup := launch(t, p)
	fromOne, fromTwo := settings(t, p, "one-a"), settings(t, p, "two-a")
	assert.Equal(t, len(fromOne.Peers), 2)
	assert.Equal(t, fromOne.Peers[0].Host, spoke.HostID("one-b"))
	neighbour, remote := fromOne.Peers[0].Address, fromOne.Peers[1].Address
	waitGreeting(t, neighbour, "one-b")
	waitGreeting(t, remote, "two-a")

	between, err := setup.Link("two", "one")
	assert.NilError(t, err)
	between.Cut()
	waitGreeting(t, remote, "")
	waitGreeting(t, fromTwo.Peers[0].Address, "")
	waitGreeting(t, neighbour, "one-b")
	waitGreeting(t, fromOne.Platform, fleet.PlatformName)
	between.Restore()
	waitGreeting(t, remote, "two-a")

	platform, err := setup.Link("one", fleet.PlatformName)
	assert.NilError(t, err)
	platform.Cut()
	waitGreeting(t, fromOne.Platform, "")
	waitGreeting(t, fromTwo.Platform, fleet.PlatformName)
	_, err = setup.Link("one", "three")
	assert.ErrorIs(t, err, fleet.ErrUnknownLink)
}

// Guards against addresses that a restart makes stale.
func TestAddressesOutliveRestarts(t *testing.T) {
	p := plan(t)
	setup := launch(t, p)
	ticket, err := setup.Ticket(1, "ops")
	assert.NilError(t, err)
	assert.Equal(t, len(ticket.Objects), 3)
	engine := ticket.Objects[1].(spoke.Upstream)
	store := ticket.Objects[2].(spoke.StoreHost)
	peer := settings(t, p, "one-a").Peers[0].Address
	for name, address := range map[string]spoke.Address{
		"engine-1": engine.Address, "store-1": store.Address, "one-b": peer,
	} {
		waitGreeting(t, address, name)
		process, err := setup.Process(name)
		assert.NilError(t, err)
		process.Kill()
		waitGreeting(t, address, "")
		assert.NilError(t, setup.Start(bounded(t), name))
		waitGreeting(t, address, name)
	}
}

// Guards against hosts without relays between them that know nobody.
func TestDirectPeers(t *testing.T) {
	p := plan(t)
	p.DirectPeers = true
	setup := launch(t, p)
	first, err := setup.Process("one-a")
	assert.NilError(t, err)
	peers := settings(t, p, "one-b").Peers
	assert.Equal(t, peers[0].Address, first.Address(ready.Internal))
	assert.Equal(t, len(settings(t, p, "one-a").Peers), 1)
}

// Guards against a failed launch that leaves processes behind or hides findings.
func TestLaunchFails(t *testing.T) {
	p := plan(t)
	p.DataCentres[1].Hosts[0].Tune = func(entry *config.Entry) { entry.Platform = "" }
	_, err := fleet.Launch(bounded(t), p)
	assert.ErrorContains(t, err, "platform-address: is empty")

	p.EntryProgram = ""
	p.DataCentres[1].Hosts[0].ID = "one-a"
	_, err = fleet.Launch(bounded(t), p)
	assert.ErrorContains(t, err, "entry-program: is empty\n")
	assert.ErrorContains(t, err, `name "one-a" is also used by data-centre one: host`)
}

// Guards against misspelt keys in plan files that silently change a set-up.
func TestDecodePlanReportsUnknownKeys(t *testing.T) {
	decoded, err := fleet.DecodePlan("plan.toml", []byte("[[data-centres]]\nid = \"one\"\nhosts = [\"a\", \"b\"]\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.DataCentres[0].Hosts[1].ID, spoke.HostID("b"))
	_, err = fleet.DecodePlan("plan.toml", []byte("relays = 1\n[[data-centres]]\nhost = []\n"))
	assert.Error(t, err, "plan.toml: relays: is not a known key\nplan.toml: data-centres.host: is not a known key")
}
