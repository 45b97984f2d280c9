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
	// Gossip tells neighbors of changed beliefs at once and expects no answer. A receiver to whom they are news passes
	// them on, so that they cross the ring of neighbors in a logarithmic number of steps.
	Gossip Kind = "news"
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

// Update is what another instance believes of a run.
type Update struct {
	Writer ids.WriterID `json:"w"`
	// AgeMs is the time since the suspicion, or since the newest sign that the run was alive. It is rounded up.
	AgeMs   int64 `json:"a"`
	Suspect bool  `json:"s,omitempty"`
	Leaving bool  `json:"l,omitempty"`
}

// Message is sent between daemons. From is not sent: the receiver takes it from the sender's certificate.
type Message struct {
	Kind   Kind           `json:"kind"`
	From   ids.InstanceID `json:"-"`
	To     ids.InstanceID `json:"-"`
	Seq    uint64         `json:"seq"`
	Target ids.InstanceID `json:"target,omitempty"`
	Info   *Info          `json:"info,omitempty"`
	// Sum is a checksum of what the sender of a Ping believes; zero if it wants no comparison.
	Sum uint32 `json:"sum,omitempty"`
	// Updates are all beliefs of the sender in an Ack, if they differ from those of the Ping's sender, and the changed ones
	// in Gossip.
	Updates []Update `json:"rumors,omitempty"`
	// NoLogContact tells which instances have no contact with the log, in an Ack of a sender that has none; see digest.
	NoLogContact []byte `json:"withoutLog,omitempty"`
}

// Options are the settings of probes.
type Options struct {
	// Interval is the time between an instance's probes, in a fleet of more than SmallFleet listed instances.
	Interval time.Duration
	// SmallInterval takes its place in a smaller fleet. At 380 instances it would cost more than 2 KB a second.
	SmallInterval time.Duration
	SmallFleet    int
	// OutageInterval takes its place while the instance has no contact with the log, so that more than half of the
	// fleet hear of each other within StatementTTL.
	OutageInterval time.Duration
	// Timeout is how long a direct probe waits for its answer, and then the indirect ones.
	Timeout time.Duration
	// Helpers is the number of indirect probes.
	Helpers int
	// NoContactAfter is the age of the own last read from which the instance says that it has no contact. It must exceed
	// two waits of reads, 2 s: a read proves contact at its start, and the next one takes as long.
	NoContactAfter time.Duration
	// StatementTTL is how long the statement to have no contact counts for admission. With 5 s, an instance of 380 knew
	// 148 (median of a test); with 10 s all 380, at 1.9 KB sent a second.
	StatementTTL time.Duration
}

// DefaultOptions are the settings that the tests' figures hold for.
func DefaultOptions() Options {
	return Options{
		Interval: time.Second, SmallInterval: 500 * time.Millisecond, SmallFleet: 32,
		OutageInterval: 500 * time.Millisecond, Timeout: 250 * time.Millisecond, Helpers: 3,
		NoContactAfter: 3 * time.Second, StatementTTL: 10 * time.Second,
	}
}
