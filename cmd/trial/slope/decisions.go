package slope

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/route"
	"magnoliaspoke.example/spoke/sched"
	"magnoliaspoke.example/spoke/ticket"
)

const (
	// operations is the number of repetitions; the mean varies by a few percent between runs.
	operations = 2000
)

// RouteCost returns the processor time in seconds of one routing decision.
func RouteCost(upstreams int) float64 {
	router := route.NewAffinity()
	views := sampleViews(upstreams)
	query := spoke.RouteQuery{
		Service: "language", Model: "model-07", Version: "v1", DataCentre: "dc0",
		Rank: spoke.Rank{Name: "urgent", FirstTokenTarget: time.Second},
	}
	return perOperation(func(i int) {
		query.Keys = []spoke.BlockKey{{byte(i), byte(i >> 8)}}
		router.Choose(time.Unix(int64(i), 0), query, views)
	})
}

func sampleViews(upstreams int) []spoke.UpstreamView {
	views := make([]spoke.UpstreamView, upstreams)
	for i := range views {
		views[i] = spoke.UpstreamView{
			Upstream: spoke.Upstream{
				ID: spoke.UpstreamID(fmt.Sprintf("engine-%03d", i)), Service: "language", DataCentre: "dc0",
				State: spoke.UpstreamServing,
			},
			Owner: spoke.HostID(fmt.Sprintf("h%02d", i%60)),
			Load: spoke.LoadSummary{
				Running: i % 16, Limit: 16, AsOf: time.Unix(0, 0),
				Versions: map[spoke.ModelName]spoke.ModelVersion{"model-07": "v1"},
			},
		}
	}
	return views
}

// AdmissionCost returns the processor time in seconds of one item from its
// submission to its end, in a queue of the given length.
func AdmissionCost(queued int) float64 {
	admission := sched.NewAdmission(sched.WithSeed(1), sched.WithLimits(8, 8, 8))
	now := time.Unix(0, 0)
	admission.Handle(now, spoke.ConfigureAdmission{
		Ranks:      []spoke.Rank{{Name: "batch", FirstTokenTarget: time.Hour, Worth: 1}},
		Workspaces: sampleWorkspaces(300),
		Owned:      []spoke.UpstreamID{"engine-000"},
	})
	running := submitMany(admission, now, queued+8)
	return perOperation(func(i int) {
		now = now.Add(10 * time.Millisecond)
		first := running[0]
		running = running[1:]
		actions := admission.Handle(now, spoke.FinishWork{Attempt: first, FirstToken: time.Millisecond, Duration: 80 * time.Millisecond})
		running = append(running, granted(actions)...)
		running = append(running, granted(admission.Handle(now, submission(i+queued+8)))...)
	})
}

func submitMany(admission spoke.Admission, now time.Time, count int) []spoke.AttemptID {
	var running []spoke.AttemptID
	for i := range count {
		running = append(running, granted(admission.Handle(now, submission(i)))...)
	}
	return running
}

func submission(index int) spoke.SubmitWork {
	return spoke.SubmitWork{Item: spoke.WorkItem{
		Attempt: spoke.AttemptID(fmt.Sprintf("a%d", index)), Upstream: "engine-000", Rank: "batch",
		Workspace: spoke.WorkspaceID(fmt.Sprintf("w%03d", index%300)), Cost: 4000,
	}}
}

func granted(actions []spoke.AdmissionAction) []spoke.AttemptID {
	var attempts []spoke.AttemptID
	for _, action := range actions {
		if grant, ok := action.(spoke.GrantWork); ok {
			attempts = append(attempts, grant.Attempt)
		}
	}
	return attempts
}

// ManifestCost returns the processor time in seconds of decoding a manifest with the given number of
// objects, its encoded size, and its compressed size as sent between hosts, both in bytes.
func ManifestCost(objects int) (seconds, size, compressed float64, err error) {
	t := spoke.Ticket{Number: 1, Author: "measurement"}
	for _, view := range sampleViews(objects * 2 / 3) {
		t.Objects = append(t.Objects, view.Upstream)
	}
	for _, workspace := range sampleWorkspaces(objects - len(t.Objects)) {
		t.Objects = append(t.Objects, workspace)
	}
	manifest := (*spoke.Manifest)(nil).Apply(t)
	encoded, err := ticket.EncodeManifest(manifest)
	if err != nil {
		return 0, 0, 0, err
	}
	const decodes = 20
	started := ProcessorTime()
	for range decodes {
		if _, err := ticket.DecodeManifest(encoded); err != nil {
			return 0, 0, 0, err
		}
	}
	return (ProcessorTime() - started).Seconds() / decodes, float64(len(encoded)), compressedSize(encoded), nil
}

func compressedSize(text []byte) float64 {
	var out bytes.Buffer
	// No error is possible: BestSpeed is a valid level and writes to a buffer do not fail.
	writer, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = writer.Write(text)
	_ = writer.Close()
	return float64(out.Len())
}

func sampleWorkspaces(count int) []spoke.Workspace {
	workspaces := make([]spoke.Workspace, count)
	for i := range workspaces {
		workspaces[i] = spoke.Workspace{
			ID: spoke.WorkspaceID(fmt.Sprintf("w%03d", i)), Weight: 1,
			KeyHashes: []spoke.KeyHash{config.HashKey(fmt.Sprintf("key-%d", i))},
			Services:  []spoke.ServiceName{"language"},
		}
	}
	return workspaces
}

func perOperation(operation func(i int)) float64 {
	started := ProcessorTime()
	for i := range operations {
		operation(i)
	}
	return (ProcessorTime() - started).Seconds() / operations
}
