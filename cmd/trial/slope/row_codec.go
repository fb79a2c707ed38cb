package slope

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

type (
	rowJSON struct {
		Role      string      `json:"role"`
		Mechanism string      `json:"mechanism"`
		Unit      string      `json:"unit"`
		Variable  string      `json:"variable"`
		Points    []pointJSON `json:"points"`
		Base      float64     `json:"base"`
		Slope     float64     `json:"slope"`
		Misfit    float64     `json:"misfit"`
		Target    float64     `json:"target"`
		AtTarget  float64     `json:"at-target"`
	}

	pointJSON struct {
		Size float64 `json:"size"`
		Cost float64 `json:"cost"`
	}
)

// Write writes the rows to a JSON file, with costs scaled to the target.
func Write(path string, rows []Row) error {
	out := make([]rowJSON, 0, len(rows))
	for _, row := range rows {
		line := row.Line()
		encoded := rowJSON{
			Role: row.Role, Mechanism: row.Mechanism, Unit: string(row.Unit), Variable: row.Variable,
			Base: row.Scale * line.Intercept, Slope: row.Scale * line.Slope, Misfit: row.Scale * line.MaxResidual,
			Target: row.Target, AtTarget: row.AtTarget(),
		}
		for _, p := range row.Points {
			encoded.Points = append(encoded.Points, pointJSON{p.Size, row.Scale * p.Cost})
		}
		out = append(out, encoded)
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode slopes")
	}
	return eris.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write slopes")
}
