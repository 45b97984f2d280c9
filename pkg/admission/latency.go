package admission

import "time"

const (
	// meanGain and deviationGain are the weights of the newest write in the averages.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is how many mean deviations above the mean a write is expected to take.
	deviations = 3
)

// latency estimates how long a write takes from the mean and the mean deviation of earlier ones.
//
// Source of the rule: Jacobson, "Congestion avoidance and control", 1988.
type latency struct {
	known           bool
	mean, deviation float64 // in seconds
}

// add applies how long a write took.
func (l *latency) add(took time.Duration) {
	s := took.Seconds()
	if !l.known {
		l.known, l.mean, l.deviation = true, s, s/2
		return
	}
	difference := s - l.mean
	l.mean += meanGain * difference
	l.deviation += deviationGain * (max(difference, -difference) - l.deviation)
}

// expected returns a time that few writes exceed, or 0 before the first write.
func (l *latency) expected() time.Duration {
	return time.Duration((l.mean + deviations*l.deviation) * float64(time.Second))
}
