package cache

import (
	"slices"

	"magnoliaspoke.example/spoke"
)

const (
	// ExportOrder is the order of exports, behind the imports of all ranks.
	ExportOrder = int(^uint(0) >> 1)
	// maxInFlight is the number of concurrent transfers on a link. Two keep the link busy between
	// the end of one transfer and the start of the next; more would only take bandwidth from
	// urgent transfers.
	maxInFlight = 2
	// maxExportsInFlight leaves a slot free for an import that arrives during an export.
	maxExportsInFlight = 1
)

type (
	// TransferID identifies a transfer within one scheduler.
	TransferID uint64

	// Transfer is a transfer of Size bytes over the link of a store host.
	Transfer struct {
		ID   TransferID
		Link spoke.Address
		// Order is the order of the rank, or ExportOrder; the lowest is the most urgent.
		Order int
		Size  spoke.ByteSize
	}

	// LinkMessage is an input of a LinkScheduler.
	LinkMessage interface{ isLinkMessage() }

	// RequestTransfer requests a slot on the link.
	RequestTransfer struct{ Transfer Transfer }
	// EndTransfer releases the slot or withdraws the request.
	EndTransfer struct{ Transfer Transfer }

	// LinkScheduler decides which transfers may use a link: urgent imports first, exports last.
	// It performs no I/O and is not safe for concurrent use.
	LinkScheduler struct {
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

// NewLinkScheduler returns a scheduler without transfers.
func NewLinkScheduler() *LinkScheduler {
	return &LinkScheduler{links: make(map[spoke.Address]*linkQueue)}
}

// Handle processes one message and returns the transfers that may start.
func (s *LinkScheduler) Handle(message LinkMessage) []TransferID {
	switch m := message.(type) {
	case RequestTransfer:
		link, ok := s.links[m.Transfer.Link]
		if !ok {
			link = &linkQueue{}
			s.links[m.Transfer.Link] = link
		}
		link.insert(m.Transfer)
		return link.start()
	case EndTransfer:
		link, ok := s.links[m.Transfer.Link]
		if !ok {
			return nil
		}
		link.remove(m.Transfer.ID)
		started := link.start()
		if len(link.running) == 0 {
			delete(s.links, m.Transfer.Link)
		}
		return started
	}
	return nil
}

// BytesAhead returns the bytes running or waiting on a link ahead of a new transfer of the order.
func (s *LinkScheduler) BytesAhead(at spoke.Address, order int) spoke.ByteSize {
	link, ok := s.links[at]
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

// Utilisation returns the share of a link's slots that running and waiting transfers take, at most 1.
func (s *LinkScheduler) Utilisation(at spoke.Address) spoke.Share {
	link, ok := s.links[at]
	if !ok {
		return 0
	}
	return min(1, spoke.Share(len(link.running)+len(link.waiting))/maxInFlight)
}

// insert adds a waiting transfer behind those of the same order.
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

// start moves waiting transfers into free slots and returns them.
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

// exports returns the number of running exports.
func (q *linkQueue) exports() int {
	count := 0
	for _, transfer := range q.running {
		if transfer.Order == ExportOrder {
			count++
		}
	}
	return count
}
