// Package member tells which daemons answer: random probes with indirect probes before a suspicion, as in SWIM (Das,
// Gupta and Motivala, 2002), and what their answers carry about configuration, log contact and load. The platform's
// instance list names the candidates; it may be late or wrong.
//
// Ages are counted from the sending of the probe that an answer belongs to, so a delayed message never looks fresher
// than it is. What comes unasked in a probe is not used as a statement about time.
package member

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Kind is the kind of a message.
type Kind string

// Kinds of messages.
const (
	// Ping asks To for an Ack.
	Ping Kind = "ping"
	// PingRequest asks To to probe Target and to send its Ack on.
	PingRequest Kind = "pingRequest"
	// Ack answers a Ping or PingRequest with the same Seq. Target is the instance that answered.
	Ack Kind = "ack"
)

// Info is what an instance says about itself in an Ack.
type Info struct {
	Writer ids.WriterID `json:"writer"`
	Zone   ids.Zone     `json:"zone"`
	// Revision is the newest configuration that the instance has.
	Revision ids.Revision `json:"revision"`
	// LogAgeMs is the time since the newest read that showed the configuration up to date, made by the instance or
	// learned by it; negative if there was none.
	LogAgeMs int64 `json:"logAgeMs"`
	// NoContact says that the instance's own reads fail.
	NoContact bool `json:"noContact,omitempty"`
	// Load is the number of calls in progress.
	Load    int  `json:"load"`
	Leaving bool `json:"leaving,omitempty"`
}

// Rumor is a suspicion by another instance.
type Rumor struct {
	ID    ids.InstanceID `json:"id"`
	AgeMs int64          `json:"ageMs"`
}

// Message is sent between daemons.
type Message struct {
	Kind   Kind           `json:"kind"`
	From   ids.InstanceID `json:"from"`
	To     ids.InstanceID `json:"-"`
	Seq    uint64         `json:"seq"`
	Target ids.InstanceID `json:"target,omitempty"`
	Info   *Info          `json:"info,omitempty"`
	// Rumors are the sender's suspicions, in an Ack of the sender's own.
	Rumors []Rumor `json:"rumors,omitempty"`
	// WithoutLog tells which instances have no contact with the log, in an Ack of a sender that has none; see digest.
	WithoutLog []byte `json:"withoutLog,omitempty"`
}

// Options are the settings of probes.
type Options struct {
	// Interval is the time between an instance's probes.
	Interval time.Duration
	// OutageInterval takes its place while the instance has no contact with the log, so that more than half of the
	// fleet hear of each other within StatementFor.
	OutageInterval time.Duration
	// Timeout is how long a direct probe waits for its answer, and then the indirect ones.
	Timeout time.Duration
	// Helpers is the number of indirect probes.
	Helpers int
	// NoContactAfter is the age of the own last read from which the instance says that it has no contact. It must exceed
	// the longest wait of a read.
	NoContactAfter time.Duration
	// StatementFor is how long the statement to have no contact counts for admission. With 5 s, an instance of 380 knew
	// 148 (median of a test); with 10 s all 380, at 1.9 KB sent a second.
	StatementFor time.Duration
}

// DefaultOptions are the settings that the tests' figures hold for.
func DefaultOptions() Options {
	return Options{
		Interval: time.Second, OutageInterval: 500 * time.Millisecond, Timeout: 300 * time.Millisecond, Helpers: 3,
		NoContactAfter: 2 * time.Second, StatementFor: 10 * time.Second,
	}
}
