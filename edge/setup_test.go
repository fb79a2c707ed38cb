package edge_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/edge"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/fake/ports"
	"magnoliaspoke.example/spoke/logs"
	"magnoliaspoke.example/spoke/platform"
	"magnoliaspoke.example/spoke/timer"
)

const (
	callerKey = "key-1"
	hostName  = "calls.example"
	// shownLogBytes is the size of the end of a host's log that a failed test shows.
	shownLogBytes = 20_000
)

// deployment is a host that runs against a fake platform.
type deployment struct {
	t        testing.TB
	store    *fake.Store
	engines  []*fake.Engine
	settings config.Relay
	signals  chan os.Signal
	ended    chan error
	// running counts the hosts that run with the store and the engines.
	running *sync.WaitGroup
	// logs is the directory of the host's log file.
	logs string
	// hook receives the host's log lines, if it is set.
	hook logrus.Hook
	// directory wraps the host's directory, if it is set.
	directory func(spoke.Directory) spoke.Directory
	// control wraps the host's control of engines, if it is set.
	control func(spoke.EngineControl) spoke.EngineControl
	// promptStores replaces the host's control of prompt stores, if it is set.
	promptStores spoke.StoreControl
	// codec replaces the platform's codec, if it is set.
	codec spoke.RelayCodec
	// applied counts the tables of awaitApplied.
	applied int
	// timer replaces the host's timer, if it is set.
	timer spoke.Timer
	// boot replaces the clock that counts suspensions of the machine, if it is set.
	boot spoke.Timer
}

// start runs a host with a number of engines, each of which answers streams with four events.
func start(t testing.TB, engines int) *deployment {
	t.Helper()
	return startWithSettings(t, engines, func(*config.Relay) {})
}

// startWithGrace runs a host with a grace period for stopping.
func startWithGrace(t testing.TB, engines int, grace time.Duration) *deployment {
	t.Helper()
	return startWithSettings(t, engines, func(settings *config.Relay) { settings.StopGrace = grace })
}

// startWithSettings runs a host with changed settings.
func startWithSettings(t testing.TB, engines int, change func(*config.Relay)) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.store.Put("op/config", table(1, callerKey))
	for i := range engines {
		engine := fake.NewEngine(fmt.Sprintf("i-%d", i), 4)
		d.closeAfterHosts(engine.Close)
		d.engines = append(d.engines, engine)
		d.putEntry(engine, "ready")
	}
	d.settings = usualSettings(t, d.store)
	change(&d.settings)
	d.runHost()
	return d
}

// newDeployment returns a deployment whose store lists nothing.
func newDeployment(t testing.TB) *deployment {
	d := &deployment{t: t, store: fake.NewStore(), signals: make(chan os.Signal, 2), ended: make(chan error, 1), running: &sync.WaitGroup{}}
	d.closeAfterHosts(d.store.Close)
	return d
}

// closeAfterHosts frees addresses of the test after its end, once its hosts have ended too: a host stops for seconds, and
// what it sends meanwhile must not reach another test that has got such an address.
func (d *deployment) closeAfterHosts(closeAll func()) {
	d.t.Cleanup(func() {
		go func() {
			d.running.Wait()
			closeAll()
		}()
	})
}

func usualSettings(t testing.TB, store *fake.Store) config.Relay {
	t.Helper()
	return config.Relay{
		Host: "host-1", DataCentre: "a", Address: netip.MustParseAddr("127.0.0.1"),
		Caller: freeAddress(t), Readiness: freeAddress(t), Store: spoke.Address(store.Address()),
		PeerPort: freePort(t), MetricsPort: freePort(t), Memory: 128 << 20, Descriptors: 1000,
		ConfigApply: 2 * time.Second, WeightsApply: 6 * time.Second, OrdersPause: 900 * time.Millisecond,
		LeaveNotice: 2 * time.Second, StopGrace: 8 * time.Second,
		RetryShare: 0.2, RetryReserve: 50, RetryWindow: 10 * time.Second,
	}
}

// beside returns another host with the same store and engines, which does not run yet.
func (d *deployment) beside(host spoke.HostID) *deployment {
	d.t.Helper()
	beside := &deployment{t: d.t, store: d.store, engines: d.engines, settings: d.settings, signals: make(chan os.Signal, 2), ended: make(chan error, 1), running: d.running}
	beside.settings.Host = host
	beside.settings.Caller, beside.settings.Readiness = freeAddress(d.t), freeAddress(d.t)
	beside.settings.PeerPort, beside.settings.MetricsPort = freePort(d.t), freePort(d.t)
	return beside
}

func (d *deployment) runHost() {
	d.logs = d.t.TempDir()
	file, err := os.Create(filepath.Join(d.logs, "host-1.log"))
	assert.NilError(d.t, err)
	d.t.Cleanup(d.showLogIfFailed)
	writer := logs.NewWriter(file)
	writing, stop := context.WithCancel(context.Background())
	go func() { _ = writer.Run(writing) }()
	d.t.Cleanup(stop)
	log := writer.Logger(logrus.InfoLevel, logrus.Fields{"host-id": d.settings.Host})
	if d.hook != nil {
		log.(*logrus.Entry).Logger.AddHook(d.hook)
	}
	var boot spoke.Timer = timer.NewBoot()
	if d.boot != nil {
		boot = d.boot
	}
	client := platform.NewStore(d.settings.Store, boot.Now)
	var directory spoke.Directory = client
	if d.directory != nil {
		directory = d.directory(client)
	}
	codec := spoke.RelayCodec(platform.Codec{})
	if d.codec != nil {
		codec = d.codec
	}
	var clock spoke.Timer = timer.NewSystem()
	if d.timer != nil {
		clock = d.timer
	}
	var stores spoke.StoreControl = platform.NewControl()
	var control spoke.EngineControl = platform.NewControl()
	if d.control != nil {
		control = d.control(control)
	}
	if d.promptStores != nil {
		stores = d.promptStores
	}
	host, err := edge.New(d.settings, edge.Dependencies{
		Directory: directory, Leases: platform.NewLeases(client), OrdersLease: platform.OrdersLease,
		Control: control, Stores: stores, Codec: codec,
		Timer: clock, LeaseTimer: boot, Log: log,
	})
	assert.NilError(d.t, err)
	d.running.Go(func() { d.ended <- host.Run(d.signals) })
	d.t.Cleanup(func() {
		select {
		case d.signals <- syscall.SIGTERM:
		default:
		}
	})
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if status, err := d.readiness(); err != nil || status != http.StatusOK {
			return poll.Continue("not ready: %d %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

func (d *deployment) readiness() (int, error) {
	response, err := http.Get("http://" + string(d.settings.Readiness) + "/readyz")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// showLogIfFailed shows the end of the host's log in the output of a test that has failed, and keeps all of it in the
// directory for temporary files.
func (d *deployment) showLogIfFailed() {
	if !d.t.Failed() {
		return
	}
	raw, err := os.ReadFile(filepath.Join(d.logs, "host-1.log"))
	d.t.Logf("end of the log of %s (%v):\n%s", d.settings.Host, err, raw[max(0, len(raw)-shownLogBytes):])
	kept, err := os.CreateTemp("", "edge-"+filepath.Base(d.t.Name())+"-"+string(d.settings.Host)+"-*.log")
	if err != nil {
		d.t.Logf("log of %s is not kept: %s", d.settings.Host, err)
		return
	}
	_, err = kept.Write(raw)
	d.t.Logf("log of %s is kept in %s (%v)", d.settings.Host, kept.Name(), errors.Join(err, kept.Close()))
}

// hasLogged reports whether the host's log contains a text.
func (d *deployment) hasLogged(text string) bool {
	raw, err := os.ReadFile(filepath.Join(d.logs, "host-1.log"))
	assert.NilError(d.t, err)
	return strings.Contains(string(raw), text)
}

func (d *deployment) putEntry(engine *fake.Engine, state string) {
	d.store.Put("servers/"+engine.ID, engine.Entry("models", "a", state))
}

// table returns a configuration with a route of each kind; calls without a prompt go to the same
// engines.
func table(version int, key string) map[string]any {
	route := func(name, prefix, kind string, attempts int, isPrompt, isResumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "route-type": kind, "timeout-ms": 4000,
			"target-latency-ms": 300, "priority": 1, "service": "models", "max-attempts": attempts,
			"sticky": isPrompt, "resumable": isResumable, "gap-aim-ms": 400,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "/chat/", "streaming", 2, true, true), route("quote", "/quote/", "streaming", 1, true, false),
			route("book", "/book/", "unsafe", 1, false, false), route("look", "/look/", "safe", 2, false, false),
		},
		"services": []any{map[string]any{
			"name": "models", "max-conns": 100,
			"engine": map[string]any{"slots": 8, "kv-capacity-tokens": 100000, "kv-token-bytes": 1000, "link-mbps": 100000},
		}},
		"limits":  map[string]any{"max-body-bytes": 100000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "workspace-1", "api-keys": []string{key}}},
	}
}

// call describes a caller's request.
type call struct {
	method, path, key, id, body string
	header                      http.Header
}

func (d *deployment) request(c call) *http.Request {
	d.t.Helper()
	request, err := http.NewRequest(c.method, "http://"+string(d.settings.Caller)+c.path, strings.NewReader(c.body))
	assert.NilError(d.t, err)
	request.Host = hostName
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header.Set("Magnoliaspoke-Request-Id", c.id)
	request.Header.Set("Magnoliaspoke-Deadline-Ms", "4000")
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if strings.HasPrefix(c.path, "/chat/") || strings.HasPrefix(c.path, "/quote/") {
		request.Header.Set("Magnoliaspoke-Model", "model-a")
		request.Header.Set("Magnoliaspoke-Token-Usage", "300,20")
		if request.Header.Get("Magnoliaspoke-Prefix-Hash") == "" {
			request.Header.Set("Magnoliaspoke-Prefix-Hash", "aa:100,bb:150,cc:50")
		}
	}
	return request
}

// answer is an answer as a caller received it.
type answer struct {
	status           int
	header           http.Header
	closesConnection bool
	body             string
}

// send makes the call and returns the answer with its body, and the error that cut it off.
func (d *deployment) send(c call) (answer, error) {
	d.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(d.request(c))
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, response.Close, string(body)}, err
}

func (d *deployment) runs() int {
	total := 0
	for _, engine := range d.engines {
		total += len(engine.Runs())
	}
	return total
}

func (d *deployment) setBehaviour(behaviour fake.Behaviour) {
	for _, engine := range d.engines {
		engine.SetBehaviour(behaviour)
	}
}

func freePort(t testing.TB) int {
	t.Helper()
	port, err := ports.Free()
	assert.NilError(t, err)
	return port
}

func freeAddress(t testing.TB) spoke.Address {
	t.Helper()
	return spoke.Address(fmt.Sprintf("127.0.0.1:%d", freePort(t)))
}

// sendRaw sends a message on a new connection and returns the first line of the answer.
func (d *deployment) sendRaw(message string) string {
	d.t.Helper()
	conn, err := net.Dial("tcp", string(d.settings.Caller))
	assert.NilError(d.t, err)
	defer conn.Close()
	assert.NilError(d.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, message)
	assert.NilError(d.t, err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	assert.NilError(d.t, err)
	return strings.TrimSpace(line)
}

func awaitTrue(t testing.TB, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(8*time.Second))
}
