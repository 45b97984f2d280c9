package slope

import "testing"

// Guards against a wrong slope or intercept of the fitted line.
func TestFit(t *testing.T) {
	slope, intercept := fit([]point{{10, 35}, {20, 65}, {40, 125}})
	if slope != 3 || intercept != 5 {
		t.Errorf("slope %g, intercept %g; want 3 and 5", slope, intercept)
	}
}

// Guards against a range that leaves out a run.
func TestSpread(t *testing.T) {
	if s := SpreadOf([]float64{5, 1, 3}); s != (Spread{Median: 3, Min: 1, Max: 5}) {
		t.Errorf("spread %v", s)
	}
}
