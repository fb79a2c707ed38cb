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
	// bookingPeriod is the time between bookings, 50 per second.
	bookingPeriod = 20 * time.Millisecond
)

type (
	// PlatformCalls is the number of calls to the key-value service per second, or per non-repeatable call.
	PlatformCalls struct {
		// Reads is the number of reads, lists and watches.
		Reads float64
		// Writes is the number of writes and lease calls.
		Writes float64
	}

	callCounts map[string]float64
)

// MeasureIdleCalls returns the platform calls per second of all hosts in the given number of data centres,
// with three hosts each, while no requests are sent and the configuration does not change.
func MeasureIdleCalls(ctx context.Context, centres int) (PlatformCalls, error) {
	session, err := setup.Start(ctx, plans.Centres(centres))
	if err != nil {
		return PlatformCalls{}, err
	}
	defer session.Close()
	return measureCallRates(ctx, session, func() error { return setup.Sleep(ctx, platformSpan) })
}

// MeasureClaimCalls returns the mean number of platform calls that one non-repeatable call adds.
func MeasureClaimCalls(ctx context.Context) (PlatformCalls, error) {
	session, err := setup.Start(ctx, plans.Centres(1))
	if err != nil {
		return PlatformCalls{}, err
	}
	defer session.Close()
	idle, err := measureCallRates(ctx, session, func() error { return setup.Sleep(ctx, platformSpan) })
	if err != nil {
		return PlatformCalls{}, err
	}
	booked := 0
	busy, err := measureCallRates(ctx, session, func() (err error) {
		booked, err = sendBookings(ctx, session)
		return err
	})
	if err != nil {
		return PlatformCalls{}, err
	}
	rate := float64(booked) / platformSpan.Seconds()
	return PlatformCalls{Reads: (busy.Reads - idle.Reads) / rate, Writes: (busy.Writes - idle.Writes) / rate}, nil
}

// sendBookings sends bookings at a steady rate through all hosts in turn and returns the number of bookings.
func sendBookings(ctx context.Context, session *setup.Session) (int, error) {
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
		if err := setup.Sleep(ctx, bookingPeriod); err != nil {
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

func measureCallRates(ctx context.Context, session *setup.Session, during func() error) (PlatformCalls, error) {
	before, err := readCallCounts(ctx, session)
	if err != nil {
		return PlatformCalls{}, err
	}
	started := time.Now()
	if err := during(); err != nil {
		return PlatformCalls{}, err
	}
	after, err := readCallCounts(ctx, session)
	if err != nil {
		return PlatformCalls{}, err
	}
	rate := func(name string) float64 { return (after[name] - before[name]) / time.Since(started).Seconds() }
	return PlatformCalls{Reads: rate("reads") + rate("watches"), Writes: rate("writes") + rate("lease-calls")}, nil
}

func readCallCounts(ctx context.Context, session *setup.Session) (callCounts, error) {
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
	found := make(callCounts)
	return found, eris.Wrap(json.NewDecoder(resp.Body).Decode(&found), "platform calls")
}
