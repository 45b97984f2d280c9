package member

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Basis says why a configuration counts as fresh.
type Basis string

// Bases of admission.
const (
	// Stale: none of the others holds; requests are refused, because a withdrawn key could be missed.
	Stale Basis = "stale"
	// OwnContact: the instance read the log up to date itself.
	OwnContact Basis = "ownContact"
	// PeerContact: a peer told of such a read, and the instance has the peer's revision.
	PeerContact Basis = "peerContact"
	// NobodyHasContact: more than half of the listed daemons have no contact, so nobody can publish.
	NobodyHasContact Basis = "nobodyHasContact"
)

// Knowledge is what the admission rule is about.
type Knowledge struct {
	// Own is the start of the last own read that showed the configuration up to date; zero if none.
	Own time.Time
	// Learned is the time of the newest such read by another whose revision the instance has; zero if none.
	Learned time.Time
	// Revision is the instance's own configuration, and Highest the newest that any peer told of.
	Revision ids.Revision
	Highest  ids.Revision
	// Listed is the number of listed daemons, and NoContact how many of them, the instance itself included, said within
	// the time for which that counts that they have no contact with the log.
	Listed    int
	NoContact int
}

// Admit tells whether the configuration is fresh (design section 4.8). An instance that lacks a revision which a peer has
// is not fresh because nobody has contact: the revision may withdraw a key.
func (k Knowledge) Admit(now time.Time, freshFor time.Duration) Basis {
	switch {
	case !k.Own.IsZero() && now.Sub(k.Own) <= freshFor:
		return OwnContact
	case !k.Learned.IsZero() && now.Sub(k.Learned) <= freshFor:
		return PeerContact
	case 2*k.NoContact > k.Listed && k.Revision != ids.NoRevision && k.Revision >= k.Highest:
		return NobodyHasContact
	default:
		return Stale
	}
}
