package peers

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// percent is the factor between a slowness and its encoding in whole percent.
const percent = 100

// The encoding is compact, since load reports are sent many times a second to each host.
type (
	reportRow struct {
		Host           string                `json:"host"`
		Sequence       uint64                `json:"number"`
		IsSnapshot     bool                  `json:"whole,omitempty"`
		Clock          uint64                `json:"clock,omitempty"`
		SentMs         int64                 `json:"sent-ms,omitempty"`
		Upstreams      []upstreamRow         `json:"upstreams,omitempty"`
		Waiting        []waitingRow          `json:"waiting,omitempty"`
		Placed         []placedRow           `json:"placed,omitempty"`
		Paused         map[string]int64      `json:"paused-ms,omitempty"`
		Doubts         map[string]int64      `json:"doubted-ms,omitempty"`
		Weights        map[string]weightsRow `json:"weights,omitempty"`
		Marks          []markRow             `json:"marks,omitempty"`
		Wanted         []wantedRow           `json:"wanted,omitempty"`
		Stores         []storeRow            `json:"stores,omitempty"`
		Leaving        []startRow            `json:"leaving,omitempty"`
		Limits         []limitRow            `json:"limits,omitempty"`
		Brittle        []brittleRow          `json:"brittle,omitempty"`
		Cold           []coldRow             `json:"cold,omitempty"`
		BrokenDoubts   []string              `json:"doubts-broken,omitempty"`
		Copies         []copyRow             `json:"copies,omitempty"`
		Slowness       []slownessRow         `json:"slowness,omitempty"`
		Speeds         []speedRow            `json:"speeds,omitempty"`
		Crashes        []crashRow            `json:"crashes,omitempty"`
		Refuted        []refutedRow          `json:"refuted,omitempty"`
		ServedParts    []servedPartRow       `json:"served-parts,omitempty"`
		PartMarks      []partMarkRow         `json:"part-marks,omitempty"`
		Software       []softwareRow         `json:"software,omitempty"`
		SoftwareMs     int64                 `json:"software-ms,omitempty"`
		Origins        []originRow           `json:"origins,omitempty"`
		TakesNoDetours bool                  `json:"no-detours,omitempty"`
		Revision       uint64                `json:"revision,omitempty"`
		DirectoryAgeMs int64                 `json:"age-ms,omitempty"`
		Table          *tableRow             `json:"table,omitempty"`
	}

	// tableRow identifies the routing table in force.
	tableRow struct {
		Version uint64 `json:"version"`
		Key     string `json:"key"`
		Content string `json:"content"`
	}

	upstreamRow struct {
		ID      string `json:"id"`
		Prefill int64  `json:"unread,omitempty"`
		Memory  int64  `json:"memory,omitempty"`
		Runs    int    `json:"runs,omitempty"`
		// CopyTimeMs is in milliseconds, although its JSON name has no unit.
		CopyTimeMs int64 `json:"copying,omitempty"`
		HasGivenUp bool  `json:"given-up,omitempty"`
		// Earlier versions send and read neither.
		SlackMs      int64 `json:"slack-ms,omitempty"`
		SlackStreams int   `json:"slack-streams,omitempty"`
		BrokenMs     int64 `json:"broken-ms,omitempty"`
		Checked      int   `json:"checked,omitempty"`
		CheckedMs    int64 `json:"checked-ms,omitempty"`
	}

	copyRow struct {
		Source      string `json:"from"`
		PendingMs   int64  `json:"took-ms,omitempty"`
		Completed   int    `json:"came,omitempty"`
		MeanDelayMs int64  `json:"late-ms,omitempty"`
	}

	slownessRow struct {
		ID      string `json:"id"`
		Percent int64  `json:"percent"`
		AgeMs   int64  `json:"age-ms,omitempty"`
	}

	placedRow struct {
		ID string `json:"id"`
		// Prefixes holds the key, the tokens of the last part and the total tokens of each prefix.
		Prefixes [][3]uint64 `json:"prefixes"`
	}

	weightsRow struct {
		Model   string `json:"model"`
		Version int64  `json:"version"`
	}

	startRow struct {
		ID string `json:"id"`
		// StartedMs is a Unix time in milliseconds, zero if it is unknown.
		StartedMs int64 `json:"started-ms,omitempty"`
	}

	wantedRow struct {
		Model   string `json:"model"`
		Version int64  `json:"version"`
		AgeMs   int64  `json:"age-ms"`
		// IsEstimate says that the age is only a bound.
		IsEstimate bool `json:"estimate,omitempty"`
	}

	storeRow struct {
		Name   string   `json:"name"`
		Epoch  uint64   `json:"epoch"`
		IsDown bool     `json:"down,omitempty"`
		Used   int64    `json:"used"`
		Stored []uint64 `json:"stored,omitempty"`
		Freed  []uint64 `json:"freed,omitempty"`
		// ClockMs is on the clock that engines and stores report, in milliseconds.
		ClockMs int64        `json:"clock-ms,omitempty"`
		Oldest  []weightsRow `json:"oldest,omitempty"`
	}

	markRow struct {
		Fingerprint string `json:"fingerprint"`
		Deaths      int    `json:"deaths"`
		// ForMs is the time until the mark expires, relative because clocks differ between hosts.
		ForMs     int64    `json:"for-ms"`
		Upstreams []string `json:"upstreams,omitempty"`
		// Falls is not known to earlier versions, which take such crashes for none.
		Falls []fallRow `json:"falls,omitempty"`
		// ServedMs is the age of the last answer in milliseconds, at least one, zero if there is none.
		ServedMs int64 `json:"served-ms,omitempty"`
	}
)

// Encode encodes a load report as JSON; the expiry of marks is written relative to now.
func Encode(report spoke.HostReport, now time.Time) ([]byte, error) {
	row := reportRow{Host: string(report.Host), Sequence: report.Sequence, IsSnapshot: report.IsSnapshot, TakesNoDetours: report.TakesNoDetours}
	row.Clock, row.SentMs = uint64(report.Sent.Clock), report.Sent.Reading.Milliseconds()
	row.Revision, row.DirectoryAgeMs = uint64(report.Directory.Revision), report.Directory.Age.Milliseconds()
	if table := report.Directory.Table; table.Version != 0 {
		row.Table = &tableRow{uint64(table.Version), table.Content.Key, string(table.Content.ID)}
	}
	for _, u := range report.Upstreams {
		row.Upstreams = append(row.Upstreams, upstreamRow{string(u.Upstream), int64(u.Prefill), int64(u.Memory), u.Runs, u.CopyTime.Milliseconds(), u.HasGivenUp, u.Slack.Milliseconds(), u.SlackStreams, u.BrokenAge.Milliseconds(), u.Checked, u.CheckedAge.Milliseconds()})
	}
	for _, w := range report.Waiting {
		row.Waiting = append(row.Waiting, encodeWaiting(w))
	}
	for _, placed := range report.Placed {
		row.Placed = append(row.Placed, encodePlaced(placed))
	}
	for id, pause := range report.Paused {
		row.Paused = put(row.Paused, string(id), pause.Milliseconds())
	}
	for id, pause := range report.Doubts {
		row.Doubts = put(row.Doubts, string(id), pause.Milliseconds())
	}
	for id, served := range report.Weights {
		row.Weights = put(row.Weights, string(id), encodeWeights(served))
	}
	for _, mark := range report.Marks {
		row.Marks = append(row.Marks, encodeMark(mark, now))
	}
	for _, w := range report.WantedAges {
		row.Wanted = append(row.Wanted, wantedRow{string(w.Wanted.Model), int64(w.Wanted.Version), w.Age.Milliseconds(), w.IsEstimate})
	}
	for _, start := range report.Leaving {
		row.Leaving = append(row.Leaving, encodeStart(start))
	}
	for _, limit := range report.Limits {
		row.Limits = append(row.Limits, encodeLimit(limit))
	}
	for _, brittle := range report.Brittle {
		row.Brittle = append(row.Brittle, encodeBrittle(brittle))
	}
	for _, cold := range report.Cold {
		row.Cold = append(row.Cold, encodeCold(cold))
	}
	for _, id := range report.BrokenDoubts {
		row.BrokenDoubts = append(row.BrokenDoubts, string(id))
	}
	for _, source := range report.Copies {
		row.Copies = append(row.Copies, copyRow{string(source.Source), source.PendingTime.Milliseconds(), source.Completed, source.MeanDelay.Milliseconds()})
	}
	for _, slowness := range report.Slowness {
		row.Slowness = append(row.Slowness, slownessRow{string(slowness.Upstream), int64(percent * slowness.Slowness), slowness.Age.Milliseconds()})
	}
	for _, state := range report.Stores {
		row.Stores = append(row.Stores, encodeStore(state))
	}
	row.Speeds = encodeSpeeds(report.Speeds)
	encodeCrashes(&row, report.Crashes)
	encodeOrigins(&row, report)
	raw, err := json.Marshal(row)
	return raw, eris.Wrap(err, "encode load report")
}

// Decode decodes a load report; the expiry of marks is read relative to now.
func Decode(raw []byte, now time.Time) (spoke.HostReport, error) {
	var row reportRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return spoke.HostReport{}, eris.Wrap(err, "decode load report")
	}
	if row.Host == "" {
		return spoke.HostReport{}, eris.New("load report without host")
	}
	report := spoke.HostReport{Host: spoke.HostID(row.Host), Sequence: row.Sequence, IsSnapshot: row.IsSnapshot, TakesNoDetours: row.TakesNoDetours}
	report.Sent = spoke.SentTime{Clock: spoke.ClockID(row.Clock), Reading: time.Duration(row.SentMs) * time.Millisecond}
	report.Directory = spoke.DirectoryView{
		Revision: spoke.Revision(row.Revision), Age: time.Duration(row.DirectoryAgeMs) * time.Millisecond,
	}
	if row.Table != nil {
		report.Directory.Table = spoke.TableReference{
			Version: spoke.TableVersion(row.Table.Version), Content: spoke.ContentReference{Key: row.Table.Key, ID: spoke.ContentID(row.Table.Content)},
		}
	}
	for _, u := range row.Upstreams {
		report.Upstreams = append(report.Upstreams, spoke.HostUpstreamLoad{
			Upstream: spoke.UpstreamID(u.ID), Prefill: spoke.TokenCount(u.Prefill), Memory: spoke.TokenCount(u.Memory), Runs: u.Runs,
			CopyTime: time.Duration(u.CopyTimeMs) * time.Millisecond, HasGivenUp: u.HasGivenUp, BrokenAge: decodeMilliseconds(u.BrokenMs),
			Checked: min(max(u.Checked, 0), max(u.Runs, 0)), CheckedAge: decodeMilliseconds(u.CheckedMs),
			Slack: time.Duration(u.SlackMs) * time.Millisecond, SlackStreams: min(max(u.SlackStreams, 0), max(u.Runs, 0)),
		})
	}
	for _, w := range row.Waiting {
		report.Waiting = append(report.Waiting, decodeWaiting(w))
	}
	for _, placed := range row.Placed {
		report.Placed = append(report.Placed, decodePlaced(placed))
	}
	for id, ms := range row.Paused {
		report.Paused = put(report.Paused, spoke.UpstreamID(id), time.Duration(ms)*time.Millisecond)
	}
	for id, ms := range row.Doubts {
		report.Doubts = put(report.Doubts, spoke.UpstreamID(id), time.Duration(ms)*time.Millisecond)
	}
	for id, served := range row.Weights {
		report.Weights = put(report.Weights, spoke.UpstreamID(id), decodeWeights(served))
	}
	for _, mark := range row.Marks {
		report.Marks = append(report.Marks, decodeMark(mark, now))
	}
	for _, w := range row.Wanted {
		report.WantedAges = append(report.WantedAges, spoke.WantedAge{
			Wanted: spoke.WantedWeights{Model: spoke.ModelName(w.Model), Version: spoke.WeightVersion(w.Version)},
			Age:    time.Duration(w.AgeMs) * time.Millisecond, IsEstimate: w.IsEstimate,
		})
	}
	for _, start := range row.Leaving {
		report.Leaving = append(report.Leaving, decodeStart(start))
	}
	for _, limit := range row.Limits {
		report.Limits = append(report.Limits, decodeLimit(limit))
	}
	for _, brittle := range row.Brittle {
		report.Brittle = append(report.Brittle, decodeBrittle(brittle))
	}
	for _, cold := range row.Cold {
		report.Cold = append(report.Cold, decodeCold(cold))
	}
	for _, id := range row.BrokenDoubts {
		report.BrokenDoubts = append(report.BrokenDoubts, spoke.UpstreamID(id))
	}
	for _, source := range row.Copies {
		report.Copies = append(report.Copies, spoke.CopyReport{
			Source: spoke.Address(source.Source), PendingTime: time.Duration(source.PendingMs) * time.Millisecond,
			Completed: source.Completed, MeanDelay: time.Duration(source.MeanDelayMs) * time.Millisecond,
		})
	}
	for _, slowness := range row.Slowness {
		report.Slowness = append(report.Slowness, spoke.UpstreamSlowness{
			Upstream: spoke.UpstreamID(slowness.ID), Slowness: float64(slowness.Percent) / percent, Age: time.Duration(slowness.AgeMs) * time.Millisecond,
		})
	}
	for _, state := range row.Stores {
		report.Stores = append(report.Stores, decodeStore(state))
	}
	report.Speeds = decodeSpeeds(row.Speeds)
	report.Crashes = decodeCrashes(row)
	decodeOrigins(row, &report)
	return report, nil
}

func encodeStart(start spoke.UpstreamStart) startRow {
	row := startRow{ID: string(start.ID)}
	if !start.Started.IsZero() {
		row.StartedMs = start.Started.UnixMilli()
	}
	return row
}

func decodeStart(row startRow) spoke.UpstreamStart {
	start := spoke.UpstreamStart{ID: spoke.UpstreamID(row.ID)}
	if row.StartedMs != 0 {
		start.Started = time.UnixMilli(row.StartedMs).UTC()
	}
	return start
}

func encodeWeights(served spoke.ServedWeights) weightsRow {
	return weightsRow{string(served.Model), int64(served.Version)}
}

func decodeWeights(row weightsRow) spoke.ServedWeights {
	return spoke.ServedWeights{Model: spoke.ModelName(row.Model), Version: spoke.WeightVersion(row.Version)}
}

func encodeStore(state spoke.StoreState) storeRow {
	row := storeRow{
		Name: string(state.Store), Epoch: uint64(state.Epoch), IsDown: state.IsDown, Used: int64(state.Used),
		Stored: convert[uint64](state.Stored), Freed: convert[uint64](state.Freed), ClockMs: int64(state.Clock),
	}
	for _, usable := range state.Oldest {
		row.Oldest = append(row.Oldest, encodeWeights(usable))
	}
	return row
}

func decodeStore(row storeRow) spoke.StoreState {
	state := spoke.StoreState{
		Store: spoke.ServiceName(row.Name), Epoch: spoke.StoreEpoch(row.Epoch), IsDown: row.IsDown, Used: spoke.TokenCount(row.Used),
		Stored: convert[spoke.StoredKey](row.Stored), Freed: convert[spoke.StoredKey](row.Freed), Clock: spoke.EngineTime(row.ClockMs),
	}
	for _, usable := range row.Oldest {
		state.Oldest = append(state.Oldest, decodeWeights(usable))
	}
	return state
}

// convert converts keys between their type and the one in the encoding.
func convert[To, From ~uint64](keys []From) []To {
	converted := make([]To, 0, len(keys))
	for _, key := range keys {
		converted = append(converted, To(key))
	}
	return converted
}

func encodePlaced(placed spoke.PlacedPrompt) placedRow {
	row := placedRow{ID: string(placed.Upstream)}
	for _, prefix := range placed.Prefixes {
		row.Prefixes = append(row.Prefixes, [3]uint64{uint64(prefix.Key), uint64(prefix.Part), uint64(prefix.Total)})
	}
	return row
}

func decodePlaced(row placedRow) spoke.PlacedPrompt {
	placed := spoke.PlacedPrompt{Upstream: spoke.UpstreamID(row.ID)}
	for _, prefix := range row.Prefixes {
		placed.Prefixes = append(placed.Prefixes, spoke.PromptPrefix{
			Key: spoke.PrefixKey(prefix[0]), Part: spoke.TokenCount(prefix[1]), Total: spoke.TokenCount(prefix[2]),
		})
	}
	return placed
}

func put[K comparable, V any](target map[K]V, key K, value V) map[K]V {
	if target == nil {
		target = make(map[K]V)
	}
	target[key] = value
	return target
}
