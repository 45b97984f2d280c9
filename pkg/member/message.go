// Package member keeps one daemon's view of which other daemons are alive. As in SWIM (Das, Gupta and Motivala, 2002), it
// probes them in random order and suspects one only after indirect probes have failed too. The answers also carry each
// daemon's configuration revision, log contact and load. The platform's instance list names the candidates; it may be
// late or wrong.
//
// Ages in an answer are counted from the time at which its probe was sent, so a delayed message never looks fresher than
// it is. Data that arrives unrequested in a probe is not used as a statement about time.
package member

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Kind is the kind of a message.
type Kind string

// Kinds of messages.
const (
	// Ping requests an Ack from To.
	Ping Kind = "ping"
	// PingRequest asks To to probe Target and to forward the Ack.
	PingRequest Kind = "pingRequest"
	// Ack answers a Ping or PingRequest with the same Seq. Target is the instance that answered.
	Ack Kind = "ack"
	// Gossip sends changed beliefs to the neighbors at once and gets no answer. A receiver to which they are new forwards
	// them, so that a change crosses the ring of neighbors in a logarithmic number of steps.
	Gossip Kind = "news"
)

// Info is an instance's report about itself in an Ack.
type Info struct {
	Writer ids.WriterID `json:"writer"`
	Zone   ids.Zone     `json:"zone"`
	// Revision is the newest configuration that the instance has.
	Revision ids.Revision `json:"revision"`
	// LogAgeMs is the time since the newest read, by the instance itself or by a peer, that showed the instance's
	// configuration to be up to date; negative if there was none.
	LogAgeMs int64 `json:"logAgeMs"`
	// NoContact reports that the instance's own reads of the log fail.
	NoContact bool `json:"noContact,omitempty"`
	// Load is the number of calls in progress.
	Load    int  `json:"load"`
	Leaving bool `json:"leaving,omitempty"`
}

// Update is what an instance believes of a run of an instance, as sent to others.
type Update struct {
	Writer ids.WriterID `json:"w"`
	// AgeMs is the time since the suspicion or, if the run is not suspected, since the newest sign that it was alive. It
	// is rounded up.
	AgeMs   int64 `json:"a"`
	Suspect bool  `json:"s,omitempty"`
	Leaving bool  `json:"l,omitempty"`
}

// Message is a message between daemons. From is not transmitted; the receiver reads it from the sender's certificate.
type Message struct {
	Kind   Kind           `json:"kind"`
	From   ids.InstanceID `json:"-"`
	To     ids.InstanceID `json:"-"`
	Seq    uint64         `json:"seq"`
	Target ids.InstanceID `json:"target,omitempty"`
	Info   *Info          `json:"info,omitempty"`
	// Sum is a checksum of the beliefs of a Ping's sender; zero if the sender wants no comparison.
	Sum uint32 `json:"sum,omitempty"`
	// Updates holds all beliefs of the sender in an Ack if they differ from those of the Ping's sender, and only the changed
	// ones in Gossip.
	Updates []Update `json:"rumors,omitempty"`
	// NoLogContact states which instances have no contact with the log, in an Ack of a sender that has none itself. It is
	// encoded as a digest; see digest.go.
	NoLogContact []byte `json:"withoutLog,omitempty"`
}

// Options configures the probes.
type Options struct {
	// Interval is the time between an instance's probes in a fleet of more than SmallFleet listed instances.
	Interval time.Duration
	// SmallInterval replaces Interval in a smaller fleet. At 380 instances it would cost more than 2 KB a second.
	SmallInterval time.Duration
	SmallFleet    int
	// OutageInterval replaces both while the instance has no contact with the log, so that more than half of the fleet learn
	// of each other's lost contact within StatementTTL.
	OutageInterval time.Duration
	// Timeout is how long a direct probe waits for its answer. Indirect probes wait twice as long.
	Timeout time.Duration
	// Helpers is the number of instances that are asked for an indirect probe.
	Helpers int
	// NoContactAfter is the age of the instance's last successful read above which it states that it has no contact. It
	// must exceed the wait of two reads, 2 s: a read proves contact only as of its start, and the next one takes as long.
	NoContactAfter time.Duration
	// StatementTTL is how long a statement of no contact counts for admission. With 5 s, an instance in a fleet of 380 had
	// such statements of 148 (median of a test); with 10 s it had all 380, at 1.9 KB sent a second.
	StatementTTL time.Duration
}

// DefaultOptions returns the settings that the figures in comments and tests hold for.
func DefaultOptions() Options {
	return Options{
		Interval: time.Second, SmallInterval: 500 * time.Millisecond, SmallFleet: 32,
		OutageInterval: 500 * time.Millisecond, Timeout: 250 * time.Millisecond, Helpers: 3,
		NoContactAfter: 3 * time.Second, StatementTTL: 10 * time.Second,
	}
}
