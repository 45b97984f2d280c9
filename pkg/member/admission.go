package member

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Basis says why a configuration counts as fresh.
type Basis string

// Bases of admission.
const (
	// Stale means that no other basis holds. Requests are refused, because the withdrawal of a key may have been missed.
	Stale Basis = "stale"
	// OwnContact means that the instance's own read of the log showed its configuration to be up to date.
	OwnContact Basis = "ownContact"
	// PeerContact means that a peer reported such a read and the instance has the peer's revision.
	PeerContact Basis = "peerContact"
	// NobodyHasContact means that more than half of the listed daemons have no contact with the log, so nobody can publish.
	NobodyHasContact Basis = "nobodyHasContact"
)

// Knowledge is the input of the admission rule.
type Knowledge struct {
	// OwnRead is the start of the instance's last read that showed its configuration to be up to date; zero if none.
	OwnRead time.Time
	// PeerRead is the time of the newest such read by a peer whose revision the instance has; zero if none.
	PeerRead time.Time
	// Revision is the revision of the instance's configuration, and HighestRevision the newest that any peer reported.
	Revision        ids.Revision
	HighestRevision ids.Revision
	// Listed is the number of listed daemons. NoContact is how many of them, including the instance itself, have stated
	// within Options.StatementTTL that they have no contact with the log.
	Listed    int
	NoContact int
}

// Admit returns why the configuration is fresh, or Stale (design section 4.8). NobodyHasContact does not apply to an
// instance that lacks a revision which a peer has, because that revision may withdraw a key.
func (k Knowledge) Admit(now time.Time, freshFor time.Duration) Basis {
	switch {
	case !k.OwnRead.IsZero() && now.Sub(k.OwnRead) <= freshFor:
		return OwnContact
	case !k.PeerRead.IsZero() && now.Sub(k.PeerRead) <= freshFor:
		return PeerContact
	case 2*k.NoContact > k.Listed && k.Revision != ids.NoRevision && k.Revision >= k.HighestRevision:
		return NobodyHasContact
	default:
		return Stale
	}
}
