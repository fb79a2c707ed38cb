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

// askAll calls all hosts at the same time and returns the answers in the order of the
// hosts; the error matches errPartial if some of them failed.
func askAll[T any](ctx context.Context, s *session, ask func(context.Context, *admin.Client) (T, error)) ([]T, error) {
	answers := make([]T, len(s.clients))
	failures := make([]error, len(s.clients))
	var calls sync.WaitGroup
	for i, client := range s.clients {
		calls.Go(func() { answers[i], failures[i] = ask(ctx, client) })
	}
	calls.Wait()
	var good []T
	for i, failure := range failures {
		if failure != nil {
			s.warn("%s", describe(failure))
			continue
		}
		good = append(good, answers[i])
	}
	if len(good) == 0 {
		return nil, eris.New("no host answered")
	}
	if len(good) < len(s.clients) {
		return good, eris.Wrapf(errPartial, "%d of %d", len(s.clients)-len(good), len(s.clients))
	}
	return good, nil
}

// askFirst calls one host after another until one gives a final answer.
func askFirst[T any](ctx context.Context, s *session, ask func(context.Context, *admin.Client) (T, error)) (T, error) {
	var answer T
	var err error
	for i, client := range s.clients {
		answer, err = ask(ctx, client)
		if err == nil || isFinal(err) || i == len(s.clients)-1 {
			break
		}
		s.warn("%s; trying the next host", describe(err))
	}
	return answer, err
}

// isFinal reports whether another host would give the same failure.
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

// describe returns an error with its winner and findings, one a line.
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
