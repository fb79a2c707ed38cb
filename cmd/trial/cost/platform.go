package cost

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
	"magnoliaspoke.example/spoke/fleet"
)

const (
	platformSpan = 6 * time.Second
	// bookingPeriod gives 50 bookings per second.
	bookingPeriod = 20 * time.Millisecond
)

type (
	// PlatformCalls are calls of the key-value service per second.
	PlatformCalls struct {
		// Reads counts reads, lists and watches.
		Reads float64
		// Writes counts writes and lease calls.
		Writes float64
	}

	calls map[string]float64
)

// MeasureIdleCalls counts what data centres of three hosts call while nothing changes.
func MeasureIdleCalls(ctx context.Context, centres int) (PlatformCalls, error) {
	session, err := setup.Start(ctx, plans.Centres(centres))
	if err != nil {
		return PlatformCalls{}, err
	}
	defer session.Close()
	return countCalls(ctx, session, func() error { return setup.Wait(ctx, platformSpan) })
}

// MeasureClaimCalls counts what a non-repeatable call adds, per call.
func MeasureClaimCalls(ctx context.Context) (PlatformCalls, error) {
	session, err := setup.Start(ctx, plans.Centres(1))
	if err != nil {
		return PlatformCalls{}, err
	}
	defer session.Close()
	idle, err := countCalls(ctx, session, func() error { return setup.Wait(ctx, platformSpan) })
	if err != nil {
		return PlatformCalls{}, err
	}
	booked := 0
	busy, err := countCalls(ctx, session, func() (err error) {
		booked, err = book(ctx, session)
		return err
	})
	if err != nil {
		return PlatformCalls{}, err
	}
	rate := float64(booked) / platformSpan.Seconds()
	return PlatformCalls{Reads: (busy.Reads - idle.Reads) / rate, Writes: (busy.Writes - idle.Writes) / rate}, nil
}

// book sends bookings at a steady rate through all hosts and returns their number.
func book(ctx context.Context, session *setup.Session) (int, error) {
	var callers []*load.Caller
	for _, host := range session.Hosts() {
		caller, err := session.Caller(host)
		if err != nil {
			return 0, err
		}
		callers = append(callers, caller)
	}
	var pending sync.WaitGroup
	count := int(platformSpan / bookingPeriod)
	failures := make(chan error, count)
	for i := range count {
		if err := setup.Wait(ctx, bookingPeriod); err != nil {
			return i, err
		}
		pending.Go(func() {
			reply := callers[i%len(callers)].Call(ctx, load.Call{
				Key: plans.Key(plans.WorkspaceID(0)), Service: plans.Booking, Method: http.MethodPost, Path: "/bookings",
				Body: "{}", IdempotencyKey: spoke.IdempotencyKey(fmt.Sprintf("booking-%d", i)),
			})
			if reply.Err != nil || reply.Status != http.StatusOK {
				failures <- eris.Errorf("booking %d: status %d, %v", i, reply.Status, reply.Err)
			}
		})
	}
	pending.Wait()
	close(failures)
	return count, <-failures
}

func countCalls(ctx context.Context, session *setup.Session, during func() error) (PlatformCalls, error) {
	before, err := readCalls(ctx, session)
	if err != nil {
		return PlatformCalls{}, err
	}
	started := time.Now()
	if err := during(); err != nil {
		return PlatformCalls{}, err
	}
	after, err := readCalls(ctx, session)
	if err != nil {
		return PlatformCalls{}, err
	}
	rate := func(name string) float64 { return (after[name] - before[name]) / time.Since(started).Seconds() }
	return PlatformCalls{Reads: rate("reads") + rate("watches"), Writes: rate("writes") + rate("lease-calls")}, nil
}

func readCalls(ctx context.Context, session *setup.Session) (calls, error) {
	address, err := session.Fleet.Address(fleet.PlatformName)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/calls", nil)
	if err != nil {
		return nil, eris.Wrap(err, "platform calls")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "platform calls")
	}
	defer resp.Body.Close()
	found := make(calls)
	return found, eris.Wrap(json.NewDecoder(resp.Body).Decode(&found), "platform calls")
}
