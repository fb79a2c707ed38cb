package peers

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// percent is the unit of slowness in accounts.
const percent = 100

// The rows are short, since accounts are sent many times a second to each host.
type (
	shareRow struct {
		Host      string                `json:"host"`
		Number    uint64                `json:"number"`
		IsWhole   bool                  `json:"whole,omitempty"`
		Upstreams []upstreamRow         `json:"upstreams,omitempty"`
		Waiting   []waitingRow          `json:"waiting,omitempty"`
		Placed    []placedRow           `json:"placed,omitempty"`
		Paused    map[string]int64      `json:"paused-ms,omitempty"`
		Weights   map[string]weightsRow `json:"weights,omitempty"`
		Marks     []markRow             `json:"marks,omitempty"`
		Wanted    []wantedRow           `json:"wanted,omitempty"`
		Stores    []storeRow            `json:"stores,omitempty"`
		Leaving   []startRow            `json:"leaving,omitempty"`
		Copies    []copyRow             `json:"copies,omitempty"`
		Slowness  []slownessRow         `json:"slowness,omitempty"`
		Revision  uint64                `json:"revision,omitempty"`
		AgeMs     int64                 `json:"age-ms,omitempty"`
	}

	upstreamRow struct {
		ID     string `json:"id"`
		Unread int64  `json:"unread,omitempty"`
		Memory int64  `json:"memory,omitempty"`
		Runs   int    `json:"runs,omitempty"`
		// CopyingMs is in milliseconds.
		CopyingMs int64 `json:"copying,omitempty"`
	}

	copyRow struct {
		From   string `json:"from"`
		TookMs int64  `json:"took-ms,omitempty"`
		Came   int    `json:"came,omitempty"`
		LateMs int64  `json:"late-ms,omitempty"`
	}

	slownessRow struct {
		ID      string `json:"id"`
		Percent int64  `json:"percent"`
		AgeMs   int64  `json:"age-ms,omitempty"`
	}

	waitingRow struct {
		Service string `json:"service"`
		Urgency int    `json:"urgency"`
		Tokens  int64  `json:"tokens"`
	}

	placedRow struct {
		ID string `json:"id"`
		// Prefixes holds the key, the size of the last part and the whole size of each prefix.
		Prefixes [][3]uint64 `json:"prefixes"`
	}

	weightsRow struct {
		Model   string `json:"model"`
		Version int64  `json:"version"`
	}

	startRow struct {
		ID string `json:"id"`
		// StartedMs is in milliseconds since 1970, zero if it is not known.
		StartedMs int64 `json:"started-ms,omitempty"`
	}

	wantedRow struct {
		Model   string `json:"model"`
		Version int64  `json:"version"`
		AgeMs   int64  `json:"age-ms"`
	}

	storeRow struct {
		Name   string   `json:"name"`
		Epoch  uint64   `json:"epoch"`
		IsDown bool     `json:"down,omitempty"`
		Used   int64    `json:"used"`
		Stored []uint64 `json:"stored,omitempty"`
		Freed  []uint64 `json:"freed,omitempty"`
		// ClockMs is the time of engines and stores in milliseconds.
		ClockMs int64        `json:"clock-ms,omitempty"`
		Oldest  []weightsRow `json:"oldest,omitempty"`
	}

	markRow struct {
		Fingerprint string `json:"fingerprint"`
		Deaths      int    `json:"deaths"`
		// ForMs is the time until the mark expires, since clocks differ between hosts.
		ForMs int64 `json:"for-ms"`
	}
)

// Encode writes an account; now is the time on which marks expire.
func Encode(share spoke.HostReport, now time.Time) ([]byte, error) {
	row := shareRow{Host: string(share.Host), Number: share.Sequence, IsWhole: share.IsSnapshot}
	row.Revision, row.AgeMs = uint64(share.Directory.Revision), share.Directory.Age.Milliseconds()
	for _, u := range share.Upstreams {
		row.Upstreams = append(row.Upstreams, upstreamRow{string(u.Upstream), int64(u.Prefill), int64(u.Memory), u.Runs, u.TransferTime.Milliseconds()})
	}
	for _, w := range share.Waiting {
		row.Waiting = append(row.Waiting, waitingRow{string(w.Service), int(w.Urgency), int64(w.Tokens)})
	}
	for _, placed := range share.Placed {
		row.Placed = append(row.Placed, encodePlaced(placed))
	}
	for id, pause := range share.Paused {
		row.Paused = put(row.Paused, string(id), pause.Milliseconds())
	}
	for id, seen := range share.Weights {
		row.Weights = put(row.Weights, string(id), encodeWeights(seen))
	}
	for _, mark := range share.Marks {
		row.Marks = append(row.Marks, markRow{string(mark.Fingerprint), mark.Deaths, mark.Expires.Sub(now).Milliseconds()})
	}
	for _, w := range share.WantedAges {
		row.Wanted = append(row.Wanted, wantedRow{string(w.Wanted.Model), int64(w.Wanted.Version), w.Age.Milliseconds()})
	}
	for _, start := range share.Leaving {
		row.Leaving = append(row.Leaving, encodeStart(start))
	}
	for _, copying := range share.Copies {
		row.Copies = append(row.Copies, copyRow{string(copying.Source), copying.PendingTime.Milliseconds(), copying.Completed, copying.MeanDelay.Milliseconds()})
	}
	for _, said := range share.Slowness {
		row.Slowness = append(row.Slowness, slownessRow{string(said.Upstream), int64(percent * said.Slowness), said.Age.Milliseconds()})
	}
	for _, state := range share.Stores {
		row.Stores = append(row.Stores, encodeStore(state))
	}
	raw, err := json.Marshal(row)
	return raw, eris.Wrap(err, "encode load account")
}

// Decode reads an account.
func Decode(raw []byte, now time.Time) (spoke.HostReport, error) {
	var row shareRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return spoke.HostReport{}, eris.Wrap(err, "load account")
	}
	if row.Host == "" {
		return spoke.HostReport{}, eris.New("load account without host")
	}
	share := spoke.HostReport{Host: spoke.HostID(row.Host), Sequence: row.Number, IsSnapshot: row.IsWhole}
	share.Directory = spoke.DirectoryView{
		Revision: spoke.Revision(row.Revision), Age: time.Duration(row.AgeMs) * time.Millisecond,
	}
	for _, u := range row.Upstreams {
		share.Upstreams = append(share.Upstreams, spoke.HostUpstreamLoad{
			Upstream: spoke.UpstreamID(u.ID), Prefill: spoke.TokenCount(u.Unread), Memory: spoke.TokenCount(u.Memory), Runs: u.Runs,
			TransferTime: time.Duration(u.CopyingMs) * time.Millisecond,
		})
	}
	for _, w := range row.Waiting {
		share.Waiting = append(share.Waiting, spoke.WaitingWork{
			Service: spoke.ServiceName(w.Service), Urgency: spoke.Priority(w.Urgency), Tokens: spoke.TokenCount(w.Tokens),
		})
	}
	for _, placed := range row.Placed {
		share.Placed = append(share.Placed, decodePlaced(placed))
	}
	for id, ms := range row.Paused {
		share.Paused = put(share.Paused, spoke.UpstreamID(id), time.Duration(ms)*time.Millisecond)
	}
	for id, seen := range row.Weights {
		share.Weights = put(share.Weights, spoke.UpstreamID(id), decodeWeights(seen))
	}
	for _, mark := range row.Marks {
		share.Marks = append(share.Marks, spoke.QuarantineMark{
			Fingerprint: spoke.Fingerprint(mark.Fingerprint), Deaths: mark.Deaths,
			Expires: now.Add(time.Duration(mark.ForMs) * time.Millisecond),
		})
	}
	for _, w := range row.Wanted {
		share.WantedAges = append(share.WantedAges, spoke.WantedAge{
			Wanted: spoke.WantedWeights{Model: spoke.ModelName(w.Model), Version: spoke.WeightVersion(w.Version)},
			Age:    time.Duration(w.AgeMs) * time.Millisecond,
		})
	}
	for _, start := range row.Leaving {
		share.Leaving = append(share.Leaving, decodeStart(start))
	}
	for _, copying := range row.Copies {
		share.Copies = append(share.Copies, spoke.CopyReport{
			Source: spoke.Address(copying.From), PendingTime: time.Duration(copying.TookMs) * time.Millisecond,
			Completed: copying.Came, MeanDelay: time.Duration(copying.LateMs) * time.Millisecond,
		})
	}
	for _, said := range row.Slowness {
		share.Slowness = append(share.Slowness, spoke.UpstreamSlowness{
			Upstream: spoke.UpstreamID(said.ID), Slowness: float64(said.Percent) / percent, Age: time.Duration(said.AgeMs) * time.Millisecond,
		})
	}
	for _, state := range row.Stores {
		share.Stores = append(share.Stores, decodeStore(state))
	}
	return share, nil
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

func encodeWeights(listed spoke.ListedWeights) weightsRow {
	return weightsRow{string(listed.Model), int64(listed.Version)}
}

func decodeWeights(row weightsRow) spoke.ListedWeights {
	return spoke.ListedWeights{Model: spoke.ModelName(row.Model), Version: spoke.WeightVersion(row.Version)}
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

// convert maps keys between their type and that of the wire.
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
