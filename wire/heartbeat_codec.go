package wire

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
)

type (
	// beatJSON is [incarnation, count, version, loads]; the short form keeps the
	// heartbeats of a large data centre inside the control budget.
	beatJSON [4]uint64

	heartbeatJSON struct {
		From    string              `json:"from"`
		Beats   map[string]beatJSON `json:"beats"`
		Records []recordJSON        `json:"records"`
		Remote  bool                `json:"remote,omitempty"`
	}

	recordJSON struct {
		ID         string              `json:"id"`
		DataCentre string              `json:"data-centre"`
		Address    string              `json:"address"`
		Leaving    bool                `json:"leaving,omitempty"`
		Number     uint64              `json:"number"`
		Loads      map[string]loadJSON `json:"loads,omitempty"`
		Marks      []markJSON          `json:"marks,omitempty"`
		Gone       []string            `json:"leaving-upstreams,omitempty"`
		Paused     map[string]int64    `json:"paused-until-ms,omitempty"`
		Partial    bool                `json:"partial,omitempty"`
	}

	loadJSON struct {
		Queued   int               `json:"queued,omitempty"`
		Running  int               `json:"running,omitempty"`
		Limit    int               `json:"limit,omitempty"`
		Wait     int64             `json:"wait-us,omitempty"`
		Waits    map[string]int64  `json:"waits-us,omitempty"`
		Versions map[string]string `json:"versions,omitempty"`
		Draining bool              `json:"draining,omitempty"`
		Dead     bool              `json:"dead,omitempty"`
		AsOf     int64             `json:"as-of-ms"`
	}

	markJSON struct {
		Fingerprint string `json:"fingerprint"`
		Deaths      int    `json:"deaths"`
		Expires     int64  `json:"expires-ms"`
	}
)

// EncodeHeartbeat returns the JSON form of a heartbeat.
func EncodeHeartbeat(beat member.Heartbeat) ([]byte, error) {
	out := heartbeatJSON{From: string(beat.From), Remote: beat.Remote, Beats: make(map[string]beatJSON, len(beat.Beats))}
	for id, b := range beat.Beats {
		out.Beats[string(id)] = beatJSON{uint64(b.Incarnation), b.Count, b.Version, b.LoadsVersion}
	}
	for _, record := range beat.Records {
		out.Records = append(out.Records, encodeRecord(record))
	}
	body, err := json.Marshal(out)
	return body, eris.Wrap(err, "encode heartbeat")
}

// DecodeHeartbeat reads the JSON form of a heartbeat.
func DecodeHeartbeat(body []byte) (member.Heartbeat, error) {
	var in heartbeatJSON
	if err := json.Unmarshal(body, &in); err != nil {
		return member.Heartbeat{}, eris.Wrap(err, "decode heartbeat")
	}
	if in.From == "" {
		return member.Heartbeat{}, eris.New("heartbeat without sender")
	}
	beat := member.Heartbeat{
		From:   spoke.HostID(in.From),
		Remote: in.Remote,
		Beats:  make(map[spoke.HostID]member.Beat, len(in.Beats)),
	}
	for id, b := range in.Beats {
		beat.Beats[spoke.HostID(id)] = member.Beat{Incarnation: spoke.Incarnation(b[0]), Count: b[1], Version: b[2], LoadsVersion: b[3]}
	}
	for _, record := range in.Records {
		beat.Records = append(beat.Records, decodeRecord(record))
	}
	return beat, nil
}

func encodeRecord(r member.Record) recordJSON {
	out := recordJSON{
		ID: string(r.ID), DataCentre: string(r.DataCentre), Address: string(r.Address),
		Leaving: r.Leaving, Partial: r.Partial, Number: uint64(r.Digest.Number),
	}
	if len(r.Digest.Loads) > 0 {
		out.Loads = make(map[string]loadJSON, len(r.Digest.Loads))
	}
	for id, load := range r.Digest.Loads {
		out.Loads[string(id)] = encodeLoad(load)
	}
	for _, mark := range r.Digest.Marks {
		out.Marks = append(out.Marks, markJSON{string(mark.Fingerprint), mark.Deaths, mark.Expires.UnixMilli()})
	}
	for id, until := range r.Digest.Paused {
		if out.Paused == nil {
			out.Paused = make(map[string]int64, len(r.Digest.Paused))
		}
		out.Paused[string(id)] = until.UnixMilli()
	}
	for _, id := range r.Digest.Leaving {
		out.Gone = append(out.Gone, string(id))
	}
	return out
}

func decodeRecord(in recordJSON) member.Record {
	record := member.Record{
		ID: spoke.HostID(in.ID), DataCentre: spoke.DataCentreID(in.DataCentre),
		Address: spoke.Address(in.Address), Leaving: in.Leaving, Partial: in.Partial,
		Digest: spoke.Digest{
			Number: spoke.TicketNumber(in.Number),
			Loads:  make(map[spoke.UpstreamID]spoke.LoadSummary, len(in.Loads)),
		},
	}
	for id, load := range in.Loads {
		record.Digest.Loads[spoke.UpstreamID(id)] = decodeLoad(load)
	}
	for _, mark := range in.Marks {
		record.Digest.Marks = append(record.Digest.Marks, spoke.QuarantineMark{
			Fingerprint: spoke.Fingerprint(mark.Fingerprint),
			Deaths:      mark.Deaths,
			Expires:     time.UnixMilli(mark.Expires),
		})
	}
	for id, millis := range in.Paused {
		if record.Digest.Paused == nil {
			record.Digest.Paused = make(map[spoke.UpstreamID]time.Time, len(in.Paused))
		}
		record.Digest.Paused[spoke.UpstreamID(id)] = time.UnixMilli(millis)
	}
	for _, id := range in.Gone {
		record.Digest.Leaving = append(record.Digest.Leaving, spoke.UpstreamID(id))
	}
	return record
}

func encodeLoad(load spoke.LoadSummary) loadJSON {
	waits := make(map[string]int64, len(load.Waits))
	for rank, wait := range load.Waits {
		waits[string(rank)] = wait.Microseconds()
	}
	return loadJSON{
		Waits:  waits,
		Queued: load.Queued, Running: load.Running, Limit: load.Limit,
		Wait: load.ExpectedWait.Microseconds(), Versions: encodeVersions(load.Versions),
		Draining: load.Draining, Dead: load.Dead, AsOf: load.AsOf.UnixMilli(),
	}
}

func decodeLoad(in loadJSON) spoke.LoadSummary {
	waits := make(map[spoke.RankName]time.Duration, len(in.Waits))
	for rank, micros := range in.Waits {
		waits[spoke.RankName(rank)] = time.Duration(micros) * time.Microsecond
	}
	return spoke.LoadSummary{
		Waits:  waits,
		Queued: in.Queued, Running: in.Running, Limit: in.Limit,
		ExpectedWait: time.Duration(in.Wait) * time.Microsecond, Versions: decodeVersions(in.Versions),
		Draining: in.Draining, Dead: in.Dead, AsOf: time.UnixMilli(in.AsOf),
	}
}

func encodeVersions(versions map[spoke.ModelName]spoke.ModelVersion) map[string]string {
	out := make(map[string]string, len(versions))
	for name, version := range versions {
		out[string(name)] = string(version)
	}
	return out
}

func decodeVersions(in map[string]string) map[spoke.ModelName]spoke.ModelVersion {
	versions := make(map[spoke.ModelName]spoke.ModelVersion, len(in))
	for name, version := range in {
		versions[spoke.ModelName(name)] = spoke.ModelVersion(version)
	}
	return versions
}
