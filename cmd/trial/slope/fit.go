package slope

import "math"

type (
	// Point is a measured cost at a size.
	Point struct {
		Size float64
		Cost float64
	}

	// Line is a least-squares fit of points.
	Line struct {
		Base  float64
		Slope float64
		// Error is the largest distance of a point from the line.
		Error float64
	}
)

// Fit returns the least-squares line of at least two points of different sizes.
func Fit(points []Point) Line {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Cost
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Cost
	}
	line := Line{Slope: (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)}
	line.Base = (sumY - line.Slope*sumX) / n
	for _, p := range points {
		line.Error = max(line.Error, math.Abs(p.Cost-line.At(p.Size)))
	}
	return line
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
