package cache

import (
	"slices"

	"magnoliaspoke.example/spoke"
)

const (
	// ExportOrder sorts exports after all ranks.
	ExportOrder = int(^uint(0) >> 1)
	// maxInFlight transfers keep a link busy while one of them changes over; more would only
	// take its rate from urgent transfers.
	maxInFlight = 2
	// maxExportsInFlight leaves a place free for an import that arrives during an export.
	maxExportsInFlight = 1
)

type (
	// TransferID identifies a transfer within one budget.
	TransferID uint64

	// Transfer is a use of the link of a store host.
	Transfer struct {
		ID   TransferID
		Link spoke.Address
		// Order is that of the rank, or ExportOrder.
		Order int
		Size  spoke.ByteSize
	}

	// LinkMessage is an input of a LinkBudget.
	LinkMessage interface{ isLinkMessage() }

	// RequestTransfer asks for the link.
	RequestTransfer struct{ Transfer Transfer }
	// EndTransfer gives the link back or withdraws the request.
	EndTransfer struct{ Transfer Transfer }

	// LinkBudget decides which transfers use a link: urgent imports first, exports last. It is
	// pure and not safe for concurrent use.
	LinkBudget struct {
		links map[spoke.Address]*linkQueue
	}

	linkQueue struct {
		running []Transfer
		// waiting is sorted by order and then by arrival.
		waiting []Transfer
	}
)

func (RequestTransfer) isLinkMessage() {}
func (EndTransfer) isLinkMessage()     {}

// NewLinkBudget returns a budget without transfers.
func NewLinkBudget() *LinkBudget {
	return &LinkBudget{links: make(map[spoke.Address]*linkQueue)}
}

// Handle takes one message and returns the transfers that may start.
func (b *LinkBudget) Handle(message LinkMessage) []TransferID {
	switch m := message.(type) {
	case RequestTransfer:
		link, ok := b.links[m.Transfer.Link]
		if !ok {
			link = &linkQueue{}
			b.links[m.Transfer.Link] = link
		}
		link.insert(m.Transfer)
		return link.start()
	case EndTransfer:
		link, ok := b.links[m.Transfer.Link]
		if !ok {
			return nil
		}
		link.remove(m.Transfer.ID)
		started := link.start()
		if len(link.running) == 0 {
			delete(b.links, m.Transfer.Link)
		}
		return started
	}
	return nil
}

// Queue returns the bytes that use or wait for a link ahead of a new transfer of the order.
func (b *LinkBudget) Queue(at spoke.Address, order int) spoke.ByteSize {
	link, ok := b.links[at]
	if !ok {
		return 0
	}
	var ahead spoke.ByteSize
	for _, transfer := range link.running {
		ahead += transfer.Size
	}
	for _, transfer := range link.waiting {
		if transfer.Order <= order {
			ahead += transfer.Size
		}
	}
	return ahead
}

// Busy returns the share of a link's places that are in use.
func (b *LinkBudget) Busy(at spoke.Address) spoke.Share {
	link, ok := b.links[at]
	if !ok {
		return 0
	}
	return min(1, spoke.Share(len(link.running)+len(link.waiting))/maxInFlight)
}

func (q *linkQueue) insert(added Transfer) {
	at := slices.IndexFunc(q.waiting, func(other Transfer) bool { return other.Order > added.Order })
	if at < 0 {
		at = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, at, added)
}

func (q *linkQueue) remove(id TransferID) {
	isSame := func(other Transfer) bool { return other.ID == id }
	q.running = slices.DeleteFunc(q.running, isSame)
	q.waiting = slices.DeleteFunc(q.waiting, isSame)
}

func (q *linkQueue) start() []TransferID {
	var started []TransferID
	for len(q.waiting) > 0 && len(q.running) < maxInFlight {
		next := q.waiting[0]
		if next.Order == ExportOrder && q.exports() >= maxExportsInFlight {
			break
		}
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.running = append(q.running, next)
		started = append(started, next.ID)
	}
	return started
}

func (q *linkQueue) exports() int {
	count := 0
	for _, transfer := range q.running {
		if transfer.Order == ExportOrder {
			count++
		}
	}
	return count
}
