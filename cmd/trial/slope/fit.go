package slope

import "math"

type (
	// Point is a measured cost at a size.
	Point struct {
		Size float64
		Cost float64
	}

	// Line is a least-squares fit of points, Cost = Intercept + Slope*Size.
	Line struct {
		Intercept float64
		Slope     float64
		// MaxResidual is the largest vertical distance of a point from the line.
		MaxResidual float64
	}
)

// Fit returns the least-squares line through points, of which at least two must differ in size.
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
	line.Intercept = (sumY - line.Slope*sumX) / n
	for _, p := range points {
		line.MaxResidual = max(line.MaxResidual, math.Abs(p.Cost-line.At(p.Size)))
	}
	return line
}

// At returns the predicted cost for a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }
