package scene

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"os"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fleet"
)

const firstTicketWord = "first"

// ticket submits a ticket to a host; in place of a file, the word first selects the ticket with the
// objects and addresses of the set-up. With !, the ticket must be refused, and with the code if
// one is given.
func (s *scenario) ticket(ts *testscript.TestScript, neg bool, args []string) {
	checkArgs(ts, args, 2, 3, "ticket HOST FILE|first [CODE]")
	s.requireSetup(ts)
	text, err := s.ticketText(ts, args[1])
	ts.Check(err)
	client, err := s.admin(args[0])
	ts.Check(err)
	_, err = client.Submit(s.ctx, text)
	checkOutcome(ts, neg, err)
	if len(args) > 2 && codeOf(err) != args[2] {
		ts.Fatalf("ticket failed with %v, want code %s", err, args[2])
	}
}

// codeOf returns the code of a refusal by the administration API, empty for other errors.
func codeOf(err error) string {
	var failure *spoke.AdminError
	if !errors.As(err, &failure) {
		return ""
	}
	return string(failure.Code)
}

func (s *scenario) ticketText(ts *testscript.TestScript, file string) ([]byte, error) {
	if file != firstTicketWord {
		return []byte(os.Expand(ts.ReadFile(file), ts.Getenv)), nil
	}
	ticket, err := s.setup.Ticket(firstTicket, author)
	if err != nil {
		return nil, err
	}
	return s.runner.codec.EncodeTicket(ticket)
}

// platform sets the faults of the platform stand-in; faults that are not listed end. A value that
// is not valid JSON is sent as a string.
func (s *scenario) platform(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "platform [outage=refuse|hold] [delay-ms=N] [delay-writes-ms=N] [lose-answers=SHARE] [lose-next=N] [stale-reads=SHARE]"
	checkArgs(ts, args, 0, math.MaxInt, usage)
	s.requireSetup(ts)
	known := []string{"outage", "delay-ms", "delay-writes-ms", "lose-answers", "lose-next", "stale-reads"}
	faults := make(map[string]json.RawMessage)
	for name, value := range readOptions(ts, args, usage, known...) {
		if !json.Valid([]byte(value)) {
			value = strconv.Quote(value)
		}
		faults[name] = json.RawMessage(value)
	}
	body, err := json.Marshal(faults)
	ts.Check(err)
	// The error is ignored since the platform stub of this package's tests has no counters.
	s.writeBaseline, _ = s.platformWrites()
	_, err = s.callStandin(http.MethodPost, fleet.PlatformName, "/faults", string(body))
	checkOutcome(ts, neg, err)
}
