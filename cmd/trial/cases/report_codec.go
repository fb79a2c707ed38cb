package cases

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

type (
	rowJSON struct {
		Case     string  `json:"case"`
		User     string  `json:"user"`
		Name     string  `json:"name"`
		Seed     uint64  `json:"seed"`
		Value    float64 `json:"value"`
		Measured string  `json:"measured"`
		Baseline string  `json:"baseline"`
		Bound    string  `json:"bound"`
		Target   float64 `json:"target"`
		Met      bool    `json:"met"`
	}
)

// Write writes all rows to a JSON file.
func (r Report) Write(path string) error {
	out := make([]rowJSON, 0, len(r.Rows))
	for _, row := range r.Rows {
		out = append(out, rowJSON{
			Case: row.Case, User: row.Installation, Name: row.Name, Seed: row.Seed, Value: row.Value,
			Measured: row.Measured, Baseline: row.Baseline, Bound: string(row.Bound), Target: row.Target, Met: row.IsMet(),
		})
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write report")
}
