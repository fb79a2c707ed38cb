package swap

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Message is an input of a Reconciler.
	Message interface{ isMessage() }

	// LeaseState is the state of the lease without which no orders may be sent.
	LeaseState struct {
		Held bool
		// Fence is sent with each order; a changed value means another holder or a new lease.
		Fence spoke.FencingToken
		// Remaining is measured on the monotonic clock.
		Remaining time.Duration
		// TTL is the full time to live of the lease, for which the previous holder may still send orders.
		TTL time.Duration
		// Pause is the time to wait beyond that, in which engines are prepared but not ordered.
		Pause time.Duration
	}

	// Observation carries the wanted and the observed state; the maps and slices are only read.
	Observation struct {
		Models    []spoke.Model
		Upstreams []spoke.Upstream
		// Reports holds the latest load report of each upstream that responds.
		Reports map[spoke.UpstreamID]spoke.LoadReport
		Lease   LeaseState
		// UrgentWaiting counts the waiting items of the most urgent rank by service.
		UrgentWaiting map[spoke.ServiceName]int
	}

	// OrderFailed reports that an upstream did not accept an order.
	OrderFailed struct {
		Upstream spoke.UpstreamID
		// StaleFence reports that the upstream has seen a later fencing token.
		StaleFence bool
	}

	// Action is an output of a Reconciler.
	Action interface{ isAction() }

	// TakeOutOfService keeps new work from an upstream until the given time; a later action of
	// the same kind extends it.
	TakeOutOfService struct {
		Upstream spoke.UpstreamID
		Until    time.Time
	}
	// ReturnToService lets an upstream take new work again.
	ReturnToService struct{ Upstream spoke.UpstreamID }
	// SendOrder sends an order to an upstream.
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
