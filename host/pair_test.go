package host_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/fake/model"
	"magnoliaspoke.example/spoke/fake/plain"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// answerTokens at decodeRate make a stream of about half a second.
	answerTokens = 100
	decodeRate   = 200
	services     = 6
	// heldFactor slows an engine down so far that its runs outlast whatever a test does meanwhile.
	heldFactor = 50
)

type (
	// loopbackHost is a complete host with listeners on loopback.
	loopbackHost struct {
		host.TestHost
		listeners  host.Listeners
		startDrain context.CancelFunc
		ended      chan error
	}

	// hostPair is two complete hosts with a fake platform and fake upstreams: services s0 to s5 have
	// one upstream each, u0 to u5, with models m0 to m5, and service booking has b1.
	hostPair struct {
		t        *testing.T
		platform *kvsvc.Service
		bookings *plain.Service
		servers  [2]*loopbackHost

		drainDeadline time.Duration
		// engines serve the responses of u0 to u5, in the shape that a test sets.
		engines [services]*frame.Handler
	}
)

func startPair(t *testing.T) *hostPair {
	t.Helper()
	return startPairWithDeadline(t, 10*time.Second)
}

// startPairWithDeadline starts a pair whose hosts wait for their open requests for the given time.
func startPairWithDeadline(t *testing.T, drainDeadline time.Duration) *hostPair {
	t.Helper()
	p := &hostPair{t: t, drainDeadline: drainDeadline, platform: kvsvc.New(), bookings: plain.New()}
	objects := []spoke.Object{
		spoke.Rank{Name: "urgent", FirstTokenTarget: 5 * time.Second, Floor: 0.1, Worth: 1},
		spoke.Service{
			Name: "booking", Kind: spoke.ServicePlain, DefaultRank: "urgent",
			NonRepeatable: []spoke.CallPattern{{Method: http.MethodPost}},
		},
		spoke.Upstream{ID: "b1", Service: "booking", DataCentre: "dc1", Address: p.serve(p.bookings), State: spoke.UpstreamServing},
	}
	workspace := spoke.Workspace{ID: "w", Weight: 1, KeyHashes: []spoke.KeyHash{config.HashKey(apiKey)}, Services: []spoke.ServiceName{"booking"}}
	for i := range services {
		service := spoke.ServiceName(fmt.Sprint("s", i))
		name := spoke.ModelName(fmt.Sprint("m", i))
		engine := model.New(model.WithModel(name, "v1"), model.WithDecodeRate(decodeRate))
		p.engines[i] = frame.New(engine)
		at := p.serve(p.engines[i])
		t.Cleanup(engine.Close)
		workspace.Services = append(workspace.Services, service)
		objects = append(objects,
			spoke.Service{Name: service, Kind: spoke.ServiceLanguage, DefaultRank: "urgent"},
			spoke.Model{Name: name, Service: service, Version: "v1"},
			spoke.Upstream{ID: spoke.UpstreamID(fmt.Sprint("u", i)), Service: service, DataCentre: "dc1", Address: at, State: spoke.UpstreamServing},
		)
	}
	p.startServers(p.serve(p.platform))
	p.wait("members", func() bool { return len(p.servers[0].Members().Peers) == 2 && len(p.servers[1].Members().Peers) == 2 })
	p.submit(1, append(objects, workspace)...)
	p.wait("pollers", func() bool { return len(p.servers[0].Owned())+len(p.servers[1].Owned()) == services+1 })
	return p
}

func (p *hostPair) serve(handler http.Handler) spoke.Address {
	testServer := httptest.NewServer(handler)
	p.t.Cleanup(testServer.Close)
	return spoke.Address(testServer.Listener.Addr().String())
}

// slowDown multiplies the time between two tokens of the engine of a service.
func (p *hostPair) slowDown(service int, factor float64) {
	p.t.Helper()
	response := httptest.NewRecorder()
	body := strings.NewReader(fmt.Sprintf(`{"slow-factor":%g}`, factor))
	p.engines[service].ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/faults", body))
	assert.Equal(p.t, response.Code, http.StatusOK)
}

func hostSettings(id spoke.HostID, platform spoke.Address) config.Entry {
	settings := config.Defaults()
	settings.Host, settings.DataCentre = id, "dc1"
	settings.Caller, settings.Internal, settings.Admin, settings.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform, settings.PeerSecret = platform, "a secret of enough bytes"
	settings.HeartbeatInterval = 50 * time.Millisecond
	return settings
}

func (p *hostPair) startServers(platform spoke.Address) {
	p.t.Helper()
	var peers []config.Peer
	entries := [2]config.Entry{}
	for i := range entries {
		settings := hostSettings(spoke.HostID(fmt.Sprint("h", i)), platform)
		settings.DrainDelay, settings.DrainDeadline = 100*time.Millisecond, p.drainDeadline
		listeners, err := host.Listen(settings)
		assert.NilError(p.t, err)
		p.servers[i] = &loopbackHost{listeners: listeners, ended: make(chan error, 1)}
		peers = append(peers, config.Peer{Host: settings.Host, DataCentre: "dc1", Address: spoke.Address(listeners.Internal.Addr().String())})
		entries[i] = settings
	}
	for i, s := range p.servers {
		entries[i].Peers = peers
		started := host.New(entries[i], s.listeners, host.DiscardLog(), timer.NewSystem(), nil)
		var ctx context.Context
		ctx, s.startDrain = context.WithCancel(context.Background())
		s.TestHost = host.TestHost{Host: started}
		go func() { s.ended <- started.Run(ctx) }()
		p.t.Cleanup(func() {
			s.startDrain()
			assert.NilError(p.t, <-s.ended)
		})
	}
}

func (p *hostPair) submit(number spoke.TicketNumber, objects ...spoke.Object) {
	p.t.Helper()
	ticket := spoke.Ticket{Number: number, Author: "operator", Objects: objects}
	assert.NilError(p.t, p.servers[0].Administration().Submit(context.Background(), ticket))
}

func (p *hostPair) wait(what string, done func() bool) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// ownedBy returns the index of a service whose upstream the host owns.
func (p *hostPair) ownedBy(s *loopbackHost) int {
	p.t.Helper()
	for i := range services {
		for _, owned := range s.Owned() {
			if owned == spoke.UpstreamID(fmt.Sprint("u", i)) {
				return i
			}
		}
	}
	p.t.Fatal("the host owns no engine")
	return 0
}

// post sends a request to the caller API of a host and returns the body of an answer with status 200.
func (s *loopbackHost) post(t *testing.T, path, body string) io.Reader {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.listeners.Caller.Addr().String()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Idempotency-Key", path+body)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return resp.Body
}

// completionReader reads a streamed completion.
type completionReader struct {
	lines      *bufio.Scanner
	text       string
	hasEndMark bool
}

func (s *loopbackHost) startCompletion(t *testing.T, service int, prompt string) *completionReader {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m%d","prompt":%q,"max_tokens":%d,"stream":true}`, service, prompt, answerTokens)
	return &completionReader{lines: bufio.NewScanner(s.post(t, "/v1/completions", body))}
}

// next reads one event and reports false at the end of the answer.
func (r *completionReader) next(t *testing.T) bool {
	t.Helper()
	for r.lines.Scan() {
		data, isData := strings.CutPrefix(r.lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			r.hasEndMark = true
			return false
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		if len(chunk.Choices) > 0 {
			r.text += chunk.Choices[0].Text
		}
		return true
	}
	return false
}

// readAll reads the rest of the answer and checks that its text is a prefix of the expected one,
// and that the end mark follows the complete text only.
func (r *completionReader) readAll(t *testing.T, prompt string) {
	t.Helper()
	for r.next(t) {
		continue
	}
	want := model.Answer(prompt, "v1", 0, model.Length(prompt, answerTokens))
	assert.Assert(t, strings.HasPrefix(want, r.text), "got %q", r.text)
	assert.Equal(t, r.hasEndMark, r.text == want, "end mark and completeness of the text differ")
}

// Guards against answers that are altered on the way from an owner, and against a second run
// of a booking that is sent again through the other host.
func TestRequestsThroughEitherHost(t *testing.T) {
	p := startPair(t)
	for i, s := range p.servers {
		for _, owner := range p.servers {
			prompt := fmt.Sprintf("quote through host %d", i)
			a := s.startCompletion(t, p.ownedBy(owner), prompt)
			a.readAll(t, prompt)
			assert.Assert(t, a.hasEndMark)
		}
		_ = s.post(t, "/services/booking/dispatches", "ten feather dusters")
	}
	assert.Equal(t, p.bookings.Runs().Total, 1)

	// A response is counted after its last byte has been sent.
	p.wait("counted answers", func() bool { return p.servers[0].responsesByStatus(t)["200"] == 3 })
}

// responsesByStatus returns the number of responses by status from the metrics listener.
func (s *loopbackHost) responsesByStatus(t *testing.T) map[string]int {
	t.Helper()
	resp, err := http.Get("http://" + s.listeners.Metrics.Addr().String() + "/debug/vars")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var values struct {
		Host struct {
			Answers map[string]int `json:"requests-by-status"`
		} `json:"host"`
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&values))
	return values.Host.Answers
}

// Guards against a truncated answer that looks complete after an owner's connections break in
// mid-stream.
func TestOwnerFailureInMidStream(t *testing.T) {
	p := startPair(t)
	prompt := "stock of plumes"
	a := p.servers[0].startCompletion(t, p.ownedBy(p.servers[1]), prompt)
	assert.Assert(t, a.next(t))
	p.servers[1].CloseInternalServer()
	a.readAll(t, prompt)
}

// Guards against a configuration change that does not reach the other host during an outage of
// the platform.
func TestChangeReachesPeerDuringPlatformOutage(t *testing.T) {
	p := startPair(t)
	p.submit(2, spoke.Service{Name: "s9", Kind: spoke.ServiceLanguage, DefaultRank: "urgent"})
	p.platform.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageRefuse})
	defer p.platform.SetFaults(kvsvc.Faults{})
	p.wait("ticket 2", func() bool {
		manifest, err := p.servers[1].Administration().Manifest(context.Background())
		return err == nil && manifest.Number == 2
	})
}

// Guards against a drain that cuts off a run which a peer reads, that keeps the caller listener
// open, or during which the host still reports that it is ready.
func TestDrainFinishesRunsOfPeers(t *testing.T) {
	p := startPair(t)
	leaving := p.servers[1]
	prompt := "order history of a wholesaler"
	service := p.ownedBy(leaving)
	p.slowDown(service, heldFactor)
	a := p.servers[0].startCompletion(t, service, prompt)
	assert.Assert(t, a.next(t))
	assert.Assert(t, leaving.IsReady())
	assert.NilError(t, leaving.Administration().Drain(context.Background()))
	p.wait("not ready", func() bool { return !leaving.IsReady() })
	p.wait("no ownership", func() bool { return len(leaving.Owned()) == 0 })
	p.wait("closed caller listener", func() bool {
		conn, err := net.Dial("tcp", leaving.listeners.Caller.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	assert.Equal(t, len(leaving.ended), 0, "host ended while a peer reads a run")
	p.slowDown(service, 1)
	a.readAll(t, prompt)
	assert.Assert(t, a.hasEndMark)
	err := <-leaving.ended
	leaving.ended <- err
	assert.NilError(t, err)
}
