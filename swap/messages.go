package swap

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Message is an input of a Reconciler.
	Message interface{ isMessage() }

	// LeaseState is the right to give orders.
	LeaseState struct {
		Held bool
		// Fence goes with each order; another value means another holder or a new lease.
		Fence spoke.FencingToken
		// Remaining is measured on the monotonic clock.
		Remaining time.Duration
		// TTL is the full time of a lease.
		TTL time.Duration
	}

	// Observe carries the wanted and the observed state; the maps and slices are only read.
	Observation struct {
		Models    []spoke.Model
		Upstreams []spoke.Upstream
		// Reports holds the latest load report of each upstream that answers.
		Reports map[spoke.UpstreamID]spoke.LoadReport
		Lease   LeaseState
		// UrgentWaiting counts the waiting items of the most urgent rank by service.
		UrgentWaiting map[spoke.ServiceName]int
	}

	// OrderFailed reports that an upstream did not take an order.
	OrderFailed struct {
		Upstream spoke.UpstreamID
		// StaleFence says that the upstream knows a later fencing token.
		StaleFence bool
	}

	// Action is an output of a Reconciler.
	Action interface{ isAction() }

	// TakeOut keeps new work from an upstream until a time, unless it is renewed.
	TakeOutOfService struct {
		Upstream spoke.UpstreamID
		Until    time.Time
	}
	// PutBack lets an upstream take new work again.
	ReturnToService struct{ Upstream spoke.UpstreamID }
	// GiveOrder sends an order to an upstream.
	SendOrder struct {
		Upstream spoke.UpstreamID
		Order    spoke.Order
	}
)

func (Observation) isMessage() {}
func (OrderFailed) isMessage() {}

func (TakeOutOfService) isAction() {}
func (ReturnToService) isAction()  {}
func (SendOrder) isAction()        {}
