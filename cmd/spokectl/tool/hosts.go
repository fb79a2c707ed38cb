package tool

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/check"
)

// callAll calls all hosts concurrently and returns the answers in the order of the hosts.
// The error matches errPartial if some of the calls failed.
func callAll[T any](ctx context.Context, s *session, call func(context.Context, *admin.Client) (T, error)) ([]T, error) {
	answers := make([]T, len(s.clients))
	failures := make([]error, len(s.clients))
	var calls sync.WaitGroup
	for i, client := range s.clients {
		calls.Go(func() { answers[i], failures[i] = call(ctx, client) })
	}
	calls.Wait()
	var succeeded []T
	for i, failure := range failures {
		if failure != nil {
			s.warn("%s", describe(failure))
			continue
		}
		succeeded = append(succeeded, answers[i])
	}
	if len(succeeded) == 0 {
		return nil, eris.New("no host answered")
	}
	if len(succeeded) < len(s.clients) {
		return succeeded, eris.Wrapf(errPartial, "%d of %d", len(s.clients)-len(succeeded), len(s.clients))
	}
	return succeeded, nil
}

// callFirst calls one host after another until a call succeeds or its failure is final.
func callFirst[T any](ctx context.Context, s *session, call func(context.Context, *admin.Client) (T, error)) (T, error) {
	var answer T
	var err error
	for i, client := range s.clients {
		answer, err = call(ctx, client)
		if err == nil || isFinal(err) || i == len(s.clients)-1 {
			break
		}
		s.warn("%s; trying the next host", describe(err))
	}
	return answer, err
}

// isFinal reports whether other hosts would return the same error.
func isFinal(err error) bool {
	var failure *spoke.AdminError
	if !errors.As(err, &failure) {
		return false
	}
	switch failure.Code {
	case spoke.AdminNotReady, spoke.AdminUnavailable, spoke.AdminUnknownOutcome, spoke.AdminInternal:
		return false
	default:
		return true
	}
}

// describe returns the text of an error with the author of a conflicting ticket and the findings,
// one per line.
func describe(err error) string {
	text := err.Error()
	var failure *spoke.AdminError
	if errors.As(err, &failure) && failure.Winner != "" {
		text += " (the number belongs to a ticket of " + failure.Winner + ")"
	}
	var report *check.Report
	if errors.As(err, &report) {
		text += "\n  " + strings.ReplaceAll(report.Error(), "\n", "\n  ")
	}
	return text
}
