package scaletest

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Fit is a least-squares line through the measurements of a figure in a series.
type Fit struct {
	Series     string  `json:"Series"`
	Figure     string  `json:"Figure"`
	Intercept  float64 `json:"At"` // value of the line at X = 0
	Slope      float64 `json:"Slope"`
	SlopeError float64 `json:"Spread"` // standard error of the slope
	Residual   float64 `json:"Off"`    // standard deviation of the measurements from the line
	From       float64 `json:"From"`   // smallest X
	To         float64 `json:"To"`     // largest X
	Count      int     `json:"N"`      // number of measurements
	Flat       bool    `json:"Flat"`   // whether the slope differs from zero by no more than twice its standard error
}

// Fits fits each figure of each series that has at least three measurements, at two values of X or more.
func Fits(rows []Row) (fits []Fit) {
	points := map[[2]string][][2]float64{}
	for _, r := range rows {
		for figure, y := range r.Figures {
			key := [2]string{r.Series, figure}
			points[key] = append(points[key], [2]float64{r.X, y})
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(points), func(a, b [2]string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) }) {
		if f, ok := fit(points[key]); ok {
			f.Series, f.Figure = key[0], key[1]
			fits = append(fits, f)
		}
	}
	return fits
}

// fit fits a line through points of X and the figure's value. It fails if there are fewer
// than three points or all have the same X.
func fit(points [][2]float64) (f Fit, ok bool) {
	f.Count = len(points)
	f.From, f.To = math.Inf(1), math.Inf(-1)
	var mx, my float64
	for _, p := range points {
		mx += p[0] / float64(f.Count)
		my += p[1] / float64(f.Count)
		f.From, f.To = min(f.From, p[0]), max(f.To, p[0])
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p[0] - mx) * (p[0] - mx)
		xy += (p[0] - mx) * (p[1] - my)
	}
	if f.Count < 3 || xx == 0 {
		return f, false
	}
	f.Slope = xy / xx
	f.Intercept = my - f.Slope*mx
	squares := 0.0
	for _, p := range points {
		d := p[1] - f.Intercept - f.Slope*p[0]
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / float64(f.Count-2))
	f.SlopeError = f.Residual / math.Sqrt(xx)
	f.Flat = math.Abs(f.Slope) <= 2*f.SlopeError
	return f, true
}

// String formats the line and its errors for people.
func (f Fit) String() string {
	flat := ""
	if f.Flat {
		flat = ", flat within its spread"
	}
	return fmt.Sprintf("%s: %s = %.4g + %.4g (spread %.2g) x, off by %.3g, from %g to %g, %d measurements%s", f.Series, f.Figure, f.Intercept, f.Slope, f.SlopeError, f.Residual, f.From, f.To, f.Count, flat)
}
