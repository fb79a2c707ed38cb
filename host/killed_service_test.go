package host_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fake/model"
)

const (
	// serviceProcess is the variable that makes the test program a plain service process.
	serviceProcess = "SPOKE_TEST_SERVICE"
	partOfAnswer   = "part of "
	wholeAnswer    = partOfAnswer + "an answer"

	killedModel spoke.ModelName = "killed-model"
)

// runServiceProcess runs a plain service, or the engine of a model, until the end of standard input. Its answers have neither a length nor chunks
// and stop midway, which it writes, or are whole for paths that say so.
func runServiceProcess() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	if os.Getenv(serviceProcess) == string(killedModel) {
		engine := model.New(model.WithModel(killedModel, "v1"), model.WithDecodeRate(decodeRate))
		go func() {
			_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == completionsPath {
					w.Header().Set("Transfer-Encoding", "identity")
				}
				engine.ServeHTTP(w, r)
			}))
		}()
		_, _ = io.Copy(io.Discard, os.Stdin)
		return
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			body := wholeAnswer
			if r.URL.Path != "/whole" {
				body = partOfAnswer
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"+body)
			if r.URL.Path == "/whole" {
				_ = conn.Close()
				return
			}
			fmt.Println("stopped midway")
		}))
	}()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// callPlain calls a plain service and returns the status and the body of the answer.
func (s *loopbackHost) callPlain(t *testing.T, method, path, key string) (status int, answer string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+s.listeners.Caller.Addr().String()+"/services/"+path, strings.NewReader("one carton"))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(raw)
}

// Guards against answers of a killed plain service that look whole, or are recorded for a key, although they have neither
// a length nor chunks and stop midway, also if the service leaves.
func TestAnswerOfKilledServiceDoesNotLookWhole(t *testing.T) {
	p := startPair(t)
	other := p.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, wholeAnswer) }))
	for i, c := range []struct {
		name, method, key string
		isLeaving         bool
		// hasOther is set if another upstream of the service answers.
		hasOther bool
		status   int
		want     string
	}{
		{name: "once", method: http.MethodPost, status: http.StatusBadGateway, want: `"outcome":"outcome-unknown"`},
		{name: "key", method: http.MethodPost, key: "a", status: http.StatusBadGateway, want: `"outcome":"outcome-unknown"`},
		{name: "repeatable", method: http.MethodGet, hasOther: true, status: http.StatusOK, want: wholeAnswer},
		{name: "leaving", method: http.MethodPost, isLeaving: true, status: http.StatusBadGateway, want: `"outcome":"outcome-unknown"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, lines, kill := startProcess(t, serviceProcess, "1")
			service := spoke.ServiceName(c.name)
			upstream := spoke.Upstream{ID: spoke.UpstreamID("killed-" + c.name), Service: service, DataCentre: "dc1", Address: spoke.Address(address), State: spoke.UpstreamServing}
			number := spoke.TicketNumber(2 + 3*i)
			p.submit(number,
				spoke.Service{Name: service, Kind: spoke.ServicePlain, DefaultRank: "urgent", NonRepeatable: []spoke.CallPattern{{Method: http.MethodPost}}},
				spoke.Workspace{ID: "w", Weight: 1, KeyHashes: []spoke.KeyHash{config.HashKey(apiKey)}, Services: []spoke.ServiceName{service}}, upstream,
			)
			p.wait("service", func() bool {
				status, answer := p.servers[0].callPlain(t, http.MethodGet, c.name+"/whole", "")
				return status == http.StatusOK && answer == wholeAnswer
			})
			type result struct {
				status int
				answer string
			}
			received := make(chan result, 1)
			go func() {
				status, answer := p.servers[0].callPlain(t, c.method, c.name+"/cut", c.key)
				received <- result{status, answer}
			}()
			_, err := lines.ReadString('\n')
			assert.NilError(t, err)
			if c.hasOther {
				p.submit(number+1, spoke.Upstream{ID: spoke.UpstreamID("other-" + c.name), Service: service, DataCentre: "dc1", Address: other, State: spoke.UpstreamServing})
				p.wait("other upstream", func() bool { return p.inForce(number+1) && len(p.servers[0].Views(service)) == 2 })
			}
			if c.isLeaving {
				upstream.State = spoke.UpstreamLeaving
				p.submit(number+1, upstream)
				p.wait("leaving upstream", func() bool { return p.inForce(number + 1) })
			}
			kill()
			got := <-received
			assert.Equal(t, got.status, c.status, got.answer)
			assert.Assert(t, strings.Contains(got.answer, c.want), "%s", got.answer)
			if c.key != "" {
				_, answer := p.servers[0].callPlain(t, c.method, c.name+"/cut", c.key)
				assert.Assert(t, strings.Contains(answer, `"code":"already-run"`), "%s", answer)
			}
		})
	}
}

// inForce reports whether the first host has a ticket's configuration.
func (p *hostPair) inForce(number spoke.TicketNumber) bool {
	p.t.Helper()
	status, err := p.servers[0].Administration().Status(p.t.Context())
	assert.NilError(p.t, err)
	return status.Host.Number >= number
}

// Guards against streams of a killed engine that look complete although they have neither a length nor chunks: they lack
// the end mark.
func TestStreamOfKilledEngineLacksEndMark(t *testing.T) {
	p := startPair(t)
	address, _, kill := startProcess(t, serviceProcess, string(killedModel))
	p.submit(2,
		spoke.Service{Name: "killed", Kind: spoke.ServiceLanguage, DefaultRank: "urgent"},
		spoke.Model{Name: killedModel, Service: "killed", Version: "v1"},
		spoke.Upstream{ID: "killed", Service: "killed", DataCentre: "dc1", Address: spoke.Address(address), State: spoke.UpstreamServing},
		spoke.Workspace{ID: "w", Weight: 1, KeyHashes: []spoke.KeyHash{config.HashKey(apiKey)}, Services: []spoke.ServiceName{"killed"}},
	)
	body := fmt.Sprintf(`{"model":%q,"prompt":"moon","max_tokens":%d,"stream":`, killedModel, answerTokens)
	p.wait("engine", func() bool {
		status, _ := p.servers[0].complete(t, body+"false}")
		return status == http.StatusOK
	})
	status, stream := readFinal(t, p.servers[0].open(t, completionsPath, "X-Spoke-Deadline-Ms: 2000\r\n", body+"true}"))
	assert.Equal(t, status, http.StatusOK)
	a := &completionReader{lines: bufio.NewScanner(stream)}
	for a.text == "" {
		assert.Assert(t, a.next(t))
	}
	kill()
	for a.next(t) {
		continue
	}
	assert.Assert(t, !a.hasEndMark)
	assert.Assert(t, errors.Is(a.lines.Err(), io.ErrUnexpectedEOF), "%v", a.lines.Err())
}
