package scene

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
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
	if len(args) < 3 {
		return
	}
	var failure *spoke.AdminError
	if !errors.As(err, &failure) || string(failure.Code) != args[2] {
		ts.Fatalf("ticket failed with %v, want code %s", err, args[2])
	}
}

func (s *stage) ticketText(ts *testscript.TestScript, file string) ([]byte, error) {
	if file != firstWord {
		return []byte(ts.ReadFile(file)), nil
	}
	ticket, err := s.setup.Ticket(firstTicket, author)
	if err != nil {
		return nil, err
	}
	return s.runner.codec.EncodeTicket(ticket)
}

// platform sets the faults of the platform stand-in: NAME=VALUE with values in JSON; faults
// that are not named end.
func (s *stage) platform(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "platform [outage=true] [delay-ms=500] [lose-answers=true] [stale-reads=true]"
	want(ts, args, 0, math.MaxInt, usage)
	s.needSetup(ts)
	faults := map[string]json.RawMessage{
		"outage": json.RawMessage("false"), "delay-ms": json.RawMessage("0"),
		"lose-answers": json.RawMessage("false"), "stale-reads": json.RawMessage("false"),
	}
	for _, text := range args {
		name, value, found := strings.Cut(text, "=")
		if _, known := faults[name]; !known || !found || !json.Valid([]byte(value)) {
			ts.Fatalf("usage: %s", usage)
		}
		faults[name] = json.RawMessage(value)
	}
	check(ts, neg, s.setFaults(faults))
}

func (s *stage) setFaults(faults map[string]json.RawMessage) error {
	address, err := s.address(fleet.PlatformName, ready.Service)
	if err != nil {
		return err
	}
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+string(address)+"/faults", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body)
		return eris.Errorf("platform answered %d: %s", response.StatusCode, text)
	}
	return nil
}
