package admin_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/config"
)

// Guards against calls that succeed, or reveal which paths exist, without administration
// credentials.
func TestCallsWithoutCredentialsAreRefused(t *testing.T) {
	handler := admin.NewHandler(&backend{}, codec{}, []spoke.KeyHash{config.HashKey(key)})
	headers := []string{"", "Bearer ", "Bearer wrong", key, "Bearer " + string(config.HashKey(key)), "Basic " + key}
	for _, header := range headers {
		for _, path := range []string{"/admin/status", "/admin/events", "/no/such/path"} {
			request := httptest.NewRequest(http.MethodGet, path, nil)
			request.Header.Set("Authorization", header)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, http.StatusUnauthorized, "%q %s", header, path)
		}
	}
	withoutKeys := admin.NewHandler(&backend{}, codec{}, nil)
	request := httptest.NewRequest(http.MethodPost, "/admin/drain", nil)
	request.Header.Set("Authorization", "Bearer ")
	recorder := httptest.NewRecorder()
	withoutKeys.ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, http.StatusUnauthorized)
}

// Guards against tickets and manifests that are lost or changed between client and backend.
func TestTicketAndManifestRoundTrip(t *testing.T) {
	b, client := serve(t)
	number, err := client.Submit(t.Context(), []byte(`{"number":7,"author":"ops"}`))
	assert.NilError(t, err)
	assert.Equal(t, number, spoke.TicketNumber(7))
	assert.Equal(t, b.tickets[7].Author, "ops")
	text, err := client.Ticket(t.Context(), 7)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"number":7,"author":"ops"}`)
	_, err = client.Ticket(t.Context(), 8)
	assert.Equal(t, codeOf(t, err), spoke.AdminNotFound)

	_, err = client.Manifest(t.Context())
	assert.Equal(t, codeOf(t, err), spoke.AdminNotReady)
	b.manifest = &spoke.Manifest{Number: 7}
	text, err = client.Manifest(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"number":7,"author":""}`)
}

// Guards against findings that do not reach the operator in full, and against a body above
// the limit that is not refused.
func TestFindingsReachTheClient(t *testing.T) {
	_, client := serve(t)
	_, err := client.Submit(t.Context(), []byte(`{"number":"x"}`))
	assert.Equal(t, codeOf(t, err), spoke.AdminInvalidTicket)
	var report *check.Report
	assert.Assert(t, errors.As(err, &report))
	assert.Equal(t, len(report.Findings), 2)
	assert.Equal(t, report.Findings[1].Place, "ticket: author")

	_, err = client.Submit(t.Context(), []byte(strings.Repeat(" ", 5<<20)))
	assert.Equal(t, codeOf(t, err), spoke.AdminTooLarge)
}

// Guards against errors that claim that nothing was changed when the outcome is unknown.
func TestErrorsKeepTheirCode(t *testing.T) {
	b, client := serve(t)
	cases := []struct {
		err  error
		want spoke.AdminCode
	}{
		{eris.Wrap(spoke.ErrUnavailable, "submit"), spoke.AdminUnavailable},
		{eris.Wrap(spoke.ErrAnswerLost, "submit"), spoke.AdminUnknownOutcome},
		{errors.New("disk I/O error"), spoke.AdminInternal},
		{eris.Wrap(&spoke.AdminError{Code: spoke.AdminConflict, Winner: "eve"}, "submit"), spoke.AdminConflict},
	}
	for _, c := range cases {
		b.err = c.err
		_, err := client.Submit(t.Context(), []byte(`{"number":7,"author":"ops"}`))
		assert.Equal(t, codeOf(t, err), c.want)
	}
	_, err := client.Status(t.Context())
	var failure *spoke.AdminError
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Winner, "eve")
}

// Guards against status fields that are lost between host and operator.
func TestStatusRoundTrip(t *testing.T) {
	b, client := serve(t)
	b.status = spoke.Status{
		Host: spoke.HostStatus{ID: "entry-1", Region: "r", DataCentre: "d", Ready: true, Draining: true, Number: 7, Incarnation: 2, Started: noon, Requests: 3},
		Peers: []spoke.Peer{{
			ID: "entry-2", DataCentre: "d", Address: "127.0.0.1:1", Incarnation: 4, State: spoke.PeerSuspect,
			Digest: spoke.Digest{Number: 6},
		}},
		Upstreams: []spoke.UpstreamView{{
			Upstream: spoke.Upstream{ID: "u", Service: "s", DataCentre: "d", Address: "127.0.0.1:2", State: spoke.UpstreamLeaving, ChecksFencing: true, ChecksCaller: true},
			Owner:    "entry-2",
			Load: spoke.LoadSummary{
				Queued: 1, Running: 2, Limit: 3, ExpectedWait: time.Second, Draining: true, Dead: true, AsOf: noon,
				Versions: map[spoke.ModelName]spoke.ModelVersion{"m": "v2"},
			},
		}},
		Caches: []spoke.CacheStatus{{Upstream: "u", Indexed: true, Blocks: 5, Used: 6, Size: 7}},
		Stores: []spoke.StoreStatus{{Store: "st", Service: "s", Reachable: true, LinkRate: 1.5, LinkQueue: 9}},
	}
	status, err := client.Status(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, status, b.status)
	assert.NilError(t, client.Drain(t.Context()))
	assert.Assert(t, b.drained)
}

// Guards against filters that are lost, malformed parameters that are accepted, and request
// IDs that are not escaped.
func TestEventFiltersAndRequestIDsRoundTrip(t *testing.T) {
	b, client := serve(t)
	filter := spoke.EventFilter{Request: "r &=1", Upstream: "u", Ticket: 9, Since: noon, Until: noon.Add(time.Nanosecond)}
	page, err := client.Events(t.Context(), filter)
	assert.NilError(t, err)
	assert.DeepEqual(t, b.filter, filter)
	assert.Equal(t, page.Overwritten, uint64(4))
	assert.DeepEqual(t, page.Events, sampleEvents())

	report, err := client.Explain(t.Context(), "a/b ?c")
	assert.NilError(t, err)
	assert.Equal(t, report.Request, spoke.RequestID("a/b ?c"))
	assert.Equal(t, report.State, "queued")

	handler := admin.NewHandler(b, codec{}, []spoke.KeyHash{config.HashKey(key)})
	for _, path := range []string{"/admin/events?since=noon", "/admin/events?ticket=-1", "/admin/tickets/x"} {
		request := httptest.NewRequest(http.MethodGet, path, nil)
		request.Header.Set("Authorization", "Bearer "+key)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, http.StatusBadRequest, path)
	}
}
