package edge

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// The answer of a host to another one that follows the directory through it.
type (
	feedRow struct {
		Revision uint64    `json:"revision"`
		AgeMs    int64     `json:"age-ms"`
		News     []newsRow `json:"news,omitempty"`
	}

	newsRow struct {
		After    uint64 `json:"after"`
		Revision uint64 `json:"revision"`
		// MissedMs is how long before it is told here the change may have been made.
		MissedMs int64  `json:"missed-ms,omitempty"`
		Raw      []byte `json:"raw"`
	}

	// feedAnswer is what a host knows of the directory beyond a revision.
	feedAnswer struct {
		view spoke.DirectoryView
		news []news
	}
)

func encodeFeed(now time.Time, answer feedAnswer) ([]byte, error) {
	row := feedRow{Revision: uint64(answer.view.Revision), AgeMs: answer.view.Age.Milliseconds()}
	for _, n := range answer.news {
		row.News = append(row.News, newsRow{
			After: uint64(n.after), Revision: uint64(n.revision), MissedMs: n.missedBy(now).Milliseconds(), Raw: n.raw,
		})
	}
	raw, err := json.Marshal(row)
	return raw, eris.Wrap(err, "encode news of the directory")
}

func decodeFeed(now time.Time, raw []byte) (feedAnswer, error) {
	var row feedRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return feedAnswer{}, eris.Wrap(err, "news of the directory")
	}
	answer := feedAnswer{view: spoke.DirectoryView{Revision: spoke.Revision(row.Revision), Age: max(time.Duration(row.AgeMs), 0) * time.Millisecond}}
	last := spoke.Revision(0)
	for _, n := range row.News {
		if n.Revision <= n.After || spoke.Revision(n.Revision) <= last || n.Revision > row.Revision {
			return feedAnswer{}, eris.Errorf("news of the directory from revision %d to %d after %d", n.After, n.Revision, last)
		}
		last = spoke.Revision(n.Revision)
		answer.news = append(answer.news, news{
			after: spoke.Revision(n.After), revision: last, raw: n.Raw,
			seen: now, missed: max(time.Duration(n.MissedMs), 0) * time.Millisecond,
		})
	}
	return answer, nil
}
