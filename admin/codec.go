package admin

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/events"
)

type (
	findingJSON struct {
		Place  string `json:"place"`
		Reason string `json:"reason"`
	}

	failureJSON struct {
		Code     string        `json:"code"`
		Message  string        `json:"message"`
		Winner   string        `json:"winner,omitempty"`
		Findings []findingJSON `json:"findings,omitempty"`
	}

	errorJSON struct {
		Error failureJSON `json:"error"`
	}

	receiptJSON struct {
		Accepted uint64 `json:"accepted"`
	}

	pageJSON struct {
		Host        string          `json:"host"`
		Overwritten uint64          `json:"overwritten"`
		Events      json.RawMessage `json:"events"`
	}

	requestJSON struct {
		Request string          `json:"request"`
		Host    string          `json:"host"`
		State   string          `json:"state,omitempty"`
		Events  json.RawMessage `json:"events"`
	}
)

func encodeFailure(failure *spoke.AdminError) ([]byte, error) {
	raw := failureJSON{Code: string(failure.Code), Message: failure.Message, Winner: failure.Winner}
	var report *check.Report
	if errors.As(failure, &report) {
		for _, finding := range report.Findings {
			raw.Findings = append(raw.Findings, findingJSON{finding.Place, finding.Reason})
		}
	}
	return marshal(errorJSON{raw}, "error response")
}

func decodeFailure(text []byte) (*spoke.AdminError, error) {
	var raw errorJSON
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, eris.Wrap(err, "decode error response")
	}
	if raw.Error.Code == "" {
		return nil, eris.New("error response without code")
	}
	failure := &spoke.AdminError{
		Code:    spoke.AdminCode(raw.Error.Code),
		Message: raw.Error.Message,
		Winner:  raw.Error.Winner,
	}
	var report check.Report
	for _, finding := range raw.Error.Findings {
		report.Findings = append(report.Findings, check.Finding{Place: finding.Place, Reason: finding.Reason})
	}
	failure.Cause = report.Err()
	return failure, nil
}

func encodeReceipt(number spoke.TicketNumber) ([]byte, error) {
	return marshal(receiptJSON{uint64(number)}, "receipt")
}

func decodeReceipt(text []byte) (spoke.TicketNumber, error) {
	var raw receiptJSON
	err := json.Unmarshal(text, &raw)
	return spoke.TicketNumber(raw.Accepted), eris.Wrap(err, "decode receipt")
}

func encodePage(page spoke.EventPage) ([]byte, error) {
	list, err := events.Encode(page.Events)
	if err != nil {
		return nil, err
	}
	return marshal(pageJSON{string(page.Host), page.Overwritten, list}, "events")
}

func decodePage(text []byte) (spoke.EventPage, error) {
	var raw pageJSON
	if err := json.Unmarshal(text, &raw); err != nil {
		return spoke.EventPage{}, eris.Wrap(err, "decode events")
	}
	list, err := events.Decode(raw.Events)
	return spoke.EventPage{Host: spoke.HostID(raw.Host), Overwritten: raw.Overwritten, Events: list}, err
}

func encodeRequest(report spoke.RequestReport) ([]byte, error) {
	list, err := events.Encode(report.Events)
	if err != nil {
		return nil, err
	}
	return marshal(requestJSON{string(report.Request), string(report.Host), report.State, list}, "request report")
}

func decodeRequest(text []byte) (spoke.RequestReport, error) {
	var raw requestJSON
	if err := json.Unmarshal(text, &raw); err != nil {
		return spoke.RequestReport{}, eris.Wrap(err, "decode request report")
	}
	list, err := events.Decode(raw.Events)
	return spoke.RequestReport{
		Request: spoke.RequestID(raw.Request),
		Host:    spoke.HostID(raw.Host),
		State:   raw.State,
		Events:  list,
	}, err
}

func marshal(value any, name string) ([]byte, error) {
	text, err := json.Marshal(value)
	return text, eris.Wrapf(err, "encode %s", name)
}
