package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// manySlots exceeds the number of bytes of an answer in cutCase.
const manySlots = 2000

// cutCase is an answer that an engine cuts after each of its bytes, once for each call.
type cutCase struct {
	call    func(id string) call
	status  int
	framing string
	interim string
	isReset bool
}

func cutCases() []cutCase {
	var cases []cutCase
	for _, framing := range []string{"Content-Length: %d\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		for _, isReset := range []bool{false, true} {
			for _, call := range []func(string) call{bookCall, lookCall, quoteCall, chatCall} {
				cases = append(cases, cutCase{call, http.StatusOK, framing, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", isReset})
			}
			for _, call := range []func(string) call{bookCall, quoteCall} {
				cases = append(cases, cutCase{call, http.StatusInternalServerError, framing, "", isReset})
			}
		}
	}
	return cases
}

// isStream reports whether the answer has events.
func (c cutCase) isStream() bool {
	path := c.call("").path
	return strings.HasPrefix(path, "/chat/") || strings.HasPrefix(path, "/quote/")
}

// message returns the head and the body of the answer to a request.
func (c cutCase) message(id, engine string) (head, body string) {
	body = "answer"
	if c.isStream() && c.status == http.StatusOK {
		body = fake.WholeStream(0, 2)
	}
	framing := strings.ReplaceAll(c.framing, "%d", fmt.Sprint(len(body)))
	if strings.Contains(framing, "chunked") {
		body = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 2, body[:2], len(body)-2, body[2:])
	}
	return fmt.Sprintf("%sHTTP/1.1 %d %s\r\nMagnoliaspoke-Request-Id: %s\r\nMagnoliaspoke-Server-Stamp: stamp-%s\r\n%sDate: now\r\n\r\n",
		c.interim, c.status, http.StatusText(c.status), id, engine, framing), body
}

// addWideServices adds services with one engine each that runs many calls at once.
func (d *deployment) addWideServices(count int) []*fake.Engine {
	d.t.Helper()
	var engines []*fake.Engine
	for i := range count {
		engine := fake.NewEngine(fmt.Sprint("i-", i), 4)
		d.t.Cleanup(engine.Close)
		engines = append(engines, engine)
		entry := engine.Entry(fmt.Sprint("service-", i), "a", "ready")
		entry["slots"] = manySlots
		d.store.Put("servers/"+engine.ID, entry)
	}
	d.store.Put("op/config", tableOfServices(2, count))
	awaitTrue(d.t, "table is not in force", func() bool { return d.hasLogged(`"table":2`) })
	return engines
}

// Guards against an answer that an engine has cut, in its head or behind it, and that looks whole to the caller.
func TestAnswersCutAfterEachByteDoNotLookWhole(t *testing.T) {
	d := start(t, 0)
	cases := cutCases()
	engines := d.addWideServices(len(cases))
	for i, c := range cases {
		name := fmt.Sprintf("%s %d %q reset %t", c.call("").path, c.status, c.framing, c.isReset)
		t.Run(name, func(t *testing.T) { d.checkCuts(t, c, i, engines[i]) })
	}
}

// checkCuts makes one call for each byte of the answer, all of which the engine begins to run before it answers.
func (d *deployment) checkCuts(t *testing.T, c cutCase, service int, engine *fake.Engine) {
	t.Helper()
	behaviour := fake.Echo
	if c.isReset {
		behaviour = fake.EchoReset
	}
	engine.SetBehaviour(behaviour)
	release := engine.Hold(0)
	head, body := c.message("call-00-0000", engine.ID)
	end := len(head) + len(body)
	if c.framing == "" && !c.isReset {
		// The end of the connection is the end of such a body.
		end = len(head)
	}
	var group sync.WaitGroup
	for sent := range end {
		made := callOfService(c.call(fmt.Sprintf("call-%02d-%04d", service, sent)), service)
		if c.isStream() {
			maps.Copy(made.header, http.Header{"Magnoliaspoke-Token-Usage": {"1,1"}, "Magnoliaspoke-Prefix-Hash": {"aa:1"}})
		}
		head, body := c.message(made.id, engine.ID)
		made.method, made.body = http.MethodPost, (head + body)[:sent]
		group.Go(func() {
			got, err := d.send(made)
			isBroken := err != nil && c.isStream() && sent > len(head)
			assert.Check(t, isBroken || (err == nil && got.status == http.StatusBadGateway), "cut after %q: %d %q, error %v", made.body, got.status, got.body, err)
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if runs := len(engine.Runs()); runs != end {
			return poll.Continue("%d runs of %d calls", runs, end)
		}
		return poll.Success()
	}, poll.WithTimeout(8*time.Second))
	release()
	group.Wait()
}
