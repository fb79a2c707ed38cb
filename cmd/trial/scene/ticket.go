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

const firstWord = "first"

// ticket submits a ticket to a host; the word first stands for the ticket that holds the
// objects and addresses of the set-up. With !, it must be refused, and with the code if
// one is given.
func (s *stage) ticket(ts *testscript.TestScript, neg bool, args []string) {
	want(ts, args, 2, 3, "ticket HOST FILE|first [CODE]")
	s.needSetup(ts)
	text, err := s.ticketText(ts, args[1])
	ts.Check(err)
	client, err := s.admin(args[0])
	ts.Check(err)
	_, err = client.Submit(s.ctx, text)
	check(ts, neg, err)
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

func (s *stage) ticketText(ts *testscript.TestScript, file string) ([]byte, error) {
	if file != firstWord {
		return []byte(os.Expand(ts.ReadFile(file), ts.Getenv)), nil
	}
	ticket, err := s.setup.Ticket(firstTicket, author)
	if err != nil {
		return nil, err
	}
	return s.runner.codec.EncodeTicket(ticket)
}

// platform sets the faults of the platform stand-in; faults that are not named end. A value
// that is not JSON is taken as a string.
func (s *stage) platform(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "platform [outage=refuse|hold] [delay-ms=N] [delay-writes-ms=N] [lose-answers=SHARE] [lose-next=N] [stale-reads=SHARE]"
	want(ts, args, 0, math.MaxInt, usage)
	s.needSetup(ts)
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
	// The stub platform of the runner's own tests has no counters.
	s.writes, _ = s.platformWrites()
	_, err = s.standin(http.MethodPost, fleet.PlatformName, "/faults", string(body))
	check(ts, neg, err)
}
