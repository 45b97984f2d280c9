package logstore

import "sync"

// Faults are the faults in force. A POST changes the fields it names and leaves the others.
type Faults struct {
	// Outage answers 503 to every request but those to /faults.
	Outage bool `json:"outage"`
	// AppendOutage answers 503 to every append.
	AppendOutage bool `json:"appendOutage"`
	// DelayMs delays every request by milliseconds before it takes effect.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is the number of next appends that take effect and whose connection is closed without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// FailStream names a stream whose appends are answered with 503.
	FailStream string `json:"failStream"`
}

type switches struct {
	mu     sync.Mutex
	faults Faults
}

func (s *switches) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *switches) change(f func(*Faults) error) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.faults
	if err := f(&changed); err != nil {
		return err
	}
	s.faults = changed
	return nil
}

// loseAnswer reports whether the answer of the present append is to be lost, and counts it.
func (s *switches) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
