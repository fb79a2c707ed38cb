package edge

import (
	"context"
	"net/netip"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// offerQueue bounds the reports that have not been looked at.
const offerQueue = 8

type (
	// tableOffer is a newer routing table that another host has in force.
	tableOffer struct {
		host  spoke.HostID
		table spoke.TableReference
	}

	// tableOffers is the task that gets newer routing tables from other hosts, if the directory does not show them:
	// it may have returned from an older copy, or be out of reach.
	tableOffers struct {
		in     chan tableOffer
		client *contentClient
		conf   *configState
		log    logrus.FieldLogger
		// out receives the tables; the task that follows the directory applies them.
		out chan<- spoke.DirectoryChange
		// addresses are those of the other hosts.
		addresses atomic.Pointer[map[spoke.HostID]netip.AddrPort]
		lag       place.TableLag
	}
)

func newTableOffers(client *contentClient, conf *configState, log logrus.FieldLogger, out chan<- spoke.DirectoryChange) *tableOffers {
	return &tableOffers{in: make(chan tableOffer, offerQueue), client: client, conf: conf, log: log, out: out}
}

func (o *tableOffers) setAddresses(addresses map[spoke.HostID]netip.AddrPort) {
	o.addresses.Store(&addresses)
}

// offer passes on the table of another host without waiting; a later report repeats it. Another host with the same
// table, or an older one, confirms that of this host.
func (o *tableOffers) offer(host spoke.HostID, table spoke.TableReference) {
	own := o.conf.tableVersion()
	if own != 0 && table.Version != 0 && table.Version <= own {
		o.conf.endProvisional()
	}
	if table.Version <= own {
		return
	}
	select {
	case o.in <- tableOffer{host, table}:
	default:
	}
}

// run handles offers until ctx ends.
func (o *tableOffers) run(ctx context.Context) error {
	for {
		select {
		case offer := <-o.in:
			o.handle(ctx, offer)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *tableOffers) handle(ctx context.Context, offer tableOffer) {
	own := o.conf.tableVersion()
	isLagging := o.lag.Observe(o.conf.now(), own, offer.table.Version)
	addresses := o.addresses.Load()
	if offer.table.Version <= own || addresses == nil || (!isLagging && !o.conf.isProvisional()) {
		return
	}
	address, isListed := (*addresses)[offer.host]
	if !isListed {
		return
	}
	change, err := o.client.fetch(ctx, offer.table.Content, address)
	log := o.log.WithFields(logrus.Fields{"table": offer.table.Version, "peer": offer.host})
	if err != nil {
		log.WithError(err).Info("newer table of another host not received")
		return
	}
	log.Info("newer table received from another host")
	select {
	case o.out <- change:
	case <-ctx.Done():
	}
}
