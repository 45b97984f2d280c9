package logstore

import "sync"

// Faults are the faults that can be set. POST /faults changes only the fields that the body contains.
type Faults struct {
	// Outage answers 503 to every request except those to /faults.
	Outage bool `json:"outage"`
	// AppendOutage answers 503 to every append.
	AppendOutage bool `json:"appendOutage"`
	// DelayMs delays every request by this many milliseconds before it takes effect.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is the number of further appends that take effect but whose connection is closed without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// FailStream answers 503 to every append to the stream of this name.
	FailStream string `json:"failStream"`
}

// faultState holds the current faults. It is safe for concurrent use.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// change applies f to the faults. If f returns an error, the faults stay unchanged.
func (s *faultState) change(f func(*Faults) error) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.faults
	if err := f(&changed); err != nil {
		return err
	}
	s.faults = changed
	return nil
}

// loseAnswer reports whether the answer to the current append is to be lost, and counts it against LoseAnswers.
func (s *faultState) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
