package main

import (
	"context"
	"os"
	"slices"

	"magnoliaspoke.example/spoke/cmd/trial/cost"
	"magnoliaspoke.example/spoke/cmd/trial/slope"
)

const (
	// The largest size that the design must support, from docs/design.md section 1; targetRequestRate is per second.
	targetHosts              = 420.0
	targetDataCentres        = 7.0
	targetHostsPerCentre     = 60
	targetUpstreamsPerHost   = 600.0 / 420
	targetUpstreamsPerCentre = 86.0
	targetRequestRate        = 2500.0
	targetChangesPerDay      = 2200.0
	targetObjects            = 1100.0
	secondsPerDay            = 86400.0
	// idleReportUpstreams converts one report a minute from each of 600 engines to a number
	// of polled upstreams, at six polls a second each.
	idleReportUpstreams = 600.0 / 60 / 6
	// assumedBookingRate, per second, assumes that 4% of the requests at peak load are not repeatable.
	assumedBookingRate = 100.0

	// measuredRounds is the number of heartbeat rounds; the mean varies by a few percent between runs.
	measuredRounds = 20
)

type (
	capacityArgs struct {
		JSON string `arg:"--json" help:"write the slopes to a file" placeholder:"FILE"`
	}
)

func controlBudgets() []slope.Budget {
	return []slope.Budget{
		{Unit: slope.Processor, Bound: 0.027},
		{Unit: slope.Traffic, Bound: 29_000},
		{Unit: slope.Memory, Bound: 128_000_000},
		{Unit: slope.PlatformReads, Bound: 2000},
		{Unit: slope.PlatformWrites, Bound: 300},
	}
}

func (a *capacityArgs) run(ctx context.Context) error {
	rows, err := measureRows(ctx)
	if err != nil {
		return err
	}
	if err := slope.Print(os.Stdout, rows, controlBudgets()); err != nil {
		return err
	}
	if a.JSON != "" {
		if err := slope.Write(a.JSON, rows); err != nil {
			return err
		}
	}
	return slope.Check(rows, controlBudgets())
}

func measureRows(ctx context.Context) ([]slope.Row, error) {
	rows, err := membershipRows()
	if err != nil {
		return nil, err
	}
	manifests, err := manifestRows()
	if err != nil {
		return nil, err
	}
	polling, err := pollingRows()
	if err != nil {
		return nil, err
	}
	platform, err := platformRows(ctx)
	if err != nil {
		return nil, err
	}
	return slices.Concat(rows, manifests, polling, decisionRows(), platform), nil
}

// pollingRows measures the cost of polling upstreams for load and cache events. It extrapolates the cost to
// the upstreams of one owner, and to the reports of all engines for the holder of the orders lease.
func pollingRows() ([]slope.Row, error) {
	var seconds, bytes []slope.Point
	for _, upstreams := range []int{1, 2, 4, 8} {
		spent, traffic, err := slope.PollingCost(upstreams)
		if err != nil {
			return nil, err
		}
		seconds = append(seconds, slope.Point{Size: float64(upstreams), Cost: spent})
		bytes = append(bytes, slope.Point{Size: float64(upstreams), Cost: traffic})
	}
	const owner = "one owner for each upstream"
	const holder = "a report a minute of each engine, a second during a roll-out"
	return []slope.Row{
		{Role: "followed upstreams", Mechanism: owner, Unit: slope.Processor, Variable: "owned upstreams", Points: seconds, Target: targetUpstreamsPerHost, Scale: 1},
		{Role: "followed upstreams", Mechanism: owner, Unit: slope.Traffic, Variable: "owned upstreams", Points: bytes, Target: targetUpstreamsPerHost, Scale: 1},
		{Role: "orders holder, at rest", Mechanism: holder, Unit: slope.Processor, Variable: "owned upstreams", Points: seconds, Target: idleReportUpstreams, Scale: 1},
		{Role: "orders holder, at rest", Mechanism: holder, Unit: slope.Traffic, Variable: "owned upstreams", Points: bytes, Target: idleReportUpstreams, Scale: 1},
	}, nil
}

// platformRows measures the calls of all hosts to the key-value service.
func platformRows(ctx context.Context) ([]slope.Row, error) {
	var reads, writes []slope.Point
	for _, centres := range []int{1, 2, 3} {
		idle, err := cost.MeasureIdleCalls(ctx, centres)
		if err != nil {
			return nil, err
		}
		reads = append(reads, slope.Point{Size: float64(centres), Cost: idle.Reads})
		writes = append(writes, slope.Point{Size: float64(centres), Cost: idle.Writes})
	}
	claims, err := cost.MeasureClaimCalls(ctx)
	if err != nil {
		return nil, err
	}
	perCall := func(calls float64) []slope.Point {
		return []slope.Point{{Size: 0, Cost: 0}, {Size: 1, Cost: calls}}
	}
	const watchers = "two watchers a data centre, one orders lease"
	const commits = "group commit by shard"
	return []slope.Row{
		{Role: "watchers", Mechanism: watchers, Unit: slope.PlatformReads, Variable: "data centres", Points: reads, Target: targetDataCentres, Scale: 1},
		{Role: "watchers", Mechanism: watchers, Unit: slope.PlatformWrites, Variable: "data centres", Points: writes, Target: targetDataCentres, Scale: 1},
		{Role: "claims", Mechanism: commits, Unit: slope.PlatformReads, Variable: "bookings/s", Points: perCall(claims.Reads), Target: assumedBookingRate, Scale: 1},
		{Role: "claims", Mechanism: commits, Unit: slope.PlatformWrites, Variable: "bookings/s", Points: perCall(claims.Writes), Target: assumedBookingRate, Scale: 1},
	}, nil
}

// membershipRows measures the cost of heartbeats for several numbers of hosts per data centre, with two
// data centres. A separate fit gives the cost of the other five data centres of the target.
func membershipRows() ([]slope.Row, error) {
	local := [3][]slope.Point{}
	for _, hosts := range []int{7, 15, 30, 60} {
		cost, err := slope.MeasureMembership(2, hosts, measuredRounds)
		if err != nil {
			return nil, err
		}
		appendCost(&local, float64(hosts), cost)
	}
	remote := [3][]slope.Point{}
	for _, centres := range []int{2, 3, 4} {
		cost, err := slope.MeasureMembership(centres, targetHostsPerCentre, measuredRounds)
		if err != nil {
			return nil, err
		}
		appendCost(&remote, float64(centres), cost)
	}
	units := []slope.Unit{slope.Processor, slope.Traffic, slope.Memory}
	var rows []slope.Row
	for i, unit := range units {
		base := slope.Fit(remote[i]).At(2)
		extra := make([]slope.Point, 0, len(remote[i]))
		for _, p := range remote[i] {
			extra = append(extra, slope.Point{Size: p.Size, Cost: p.Cost - base})
		}
		rows = append(rows,
			slope.Row{
				Role: "heartbeats, 2 data centres", Mechanism: "push and pull of beats, records on demand",
				Unit: unit, Variable: "hosts of a data centre", Points: local[i], Target: targetHostsPerCentre, Scale: 1,
			},
			slope.Row{
				Role: "heartbeats, further data centres", Mechanism: "beats of other data centres every fourth round",
				Unit: unit, Variable: "data centres", Points: extra, Target: targetDataCentres, Scale: 1,
			})
	}
	return rows, nil
}

func appendCost(points *[3][]slope.Point, size float64, cost slope.MembershipCost) {
	for i, value := range []float64{cost.Processor.Seconds(), float64(cost.Bytes), float64(cost.Heap)} {
		points[i] = append(points[i], slope.Point{Size: size, Cost: value})
	}
}

// manifestRows measures reading a configuration. For each change, a host reads it once from
// the peer that announced it, in compressed form.
func manifestRows() ([]slope.Row, error) {
	var seconds, sizes, sent []slope.Point
	for _, objects := range []int{100, 300, 1000} {
		spent, size, compressed, err := slope.ManifestCost(objects)
		if err != nil {
			return nil, err
		}
		seconds = append(seconds, slope.Point{Size: float64(objects), Cost: spent})
		sizes = append(sizes, slope.Point{Size: float64(objects), Cost: size})
		sent = append(sent, slope.Point{Size: float64(objects), Cost: compressed})
	}
	const changes = targetChangesPerDay / secondsPerDay
	mechanism := "pulled once a change from the announcing peer"
	return []slope.Row{
		// The factor 2 is for one read and, on average, one reply to a peer.
		{Role: "configuration", Mechanism: mechanism, Unit: slope.Processor, Variable: "objects", Points: seconds, Target: targetObjects, Scale: 2 * changes},
		{Role: "configuration", Mechanism: mechanism, Unit: slope.Traffic, Variable: "objects", Points: sent, Target: targetObjects, Scale: 2 * changes},
		// The factor 3 is for the snapshot in force, its successor and the encoded form.
		{Role: "configuration", Mechanism: mechanism, Unit: slope.Memory, Variable: "objects", Points: sizes, Target: targetObjects, Scale: 3},
	}, nil
}

func decisionRows() []slope.Row {
	var routes, queues []slope.Point
	for _, upstreams := range []int{22, 43, 86} {
		routes = append(routes, slope.Point{Size: float64(upstreams), Cost: slope.RouteCost(upstreams)})
	}
	for _, queued := range []int{10, 100, 1000} {
		queues = append(queues, slope.Point{Size: float64(queued), Cost: slope.AdmissionCost(queued)})
	}
	const perHost = targetRequestRate / targetHosts
	return []slope.Row{
		{
			Role: "routing", Mechanism: "one decision a request over the views of the data centre", Unit: slope.Processor,
			Variable: "upstreams of a data centre", Points: routes, Target: targetUpstreamsPerCentre, Scale: perHost,
		},
		{
			Role: "admission", Mechanism: "queue at the owner only", Unit: slope.Processor,
			Variable: "queued items", Points: queues, Target: 200, Scale: perHost,
		},
	}
}
