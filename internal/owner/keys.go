package owner

import (
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/refusal"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// undecidedTTL is how long a key counts as undecided after a model call with it ended with an unknown outcome. A record that
// was on its way to the log then has been written or lost by the end of that time.
const undecidedTTL = 2 * time.Minute

// keyID identifies the request of a call. Each slot has keys of its own, and the program decides on the slot.
type keyID struct {
	workspace ids.WorkspaceID
	program   ids.ProgramID
	key       ids.RequestKey
}

func keyIDOf(c peer.Call) keyID { return keyID{c.Workspace, c.Program, c.RequestKey} }

// keyUse is what this instance knows of the model calls with one key.
type keyUse struct {
	running int
	// undecidedUntil is when an earlier call of unknown outcome no longer counts.
	undecidedUntil time.Time
}

// keyUses tracks the keys of model calls that are in progress or ended with an unknown outcome. A repeated call with such a
// key may be refused before it is sent, but the refusal must not say that the request did not run: the turn of the earlier
// call may still be written. It is safe for concurrent use.
type keyUses struct {
	mu   sync.Mutex
	uses map[keyID]keyUse
}

func newKeyUses() *keyUses { return &keyUses{uses: make(map[keyID]keyUse)} }

// begin counts a call that begins.
func (k *keyUses) begin(c peer.Call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := keyIDOf(c)
	u := k.uses[id]
	u.running++
	k.uses[id] = u
}

// end counts the end of a call and returns its result. A refusal that says notRun becomes unknown if another call with the
// key runs or is undecided.
func (k *keyUses) end(now time.Time, c peer.Call, result peer.Result) peer.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := keyIDOf(c)
	u := k.uses[id]
	u.running--
	ownOutcomeUnknown := mayHaveRun(result)
	undecided := u.running > 0 || now.Before(u.undecidedUntil)
	result.Refusal = refusal.CorrectRunState(result.Refusal, undecided)
	if r := result.Redirect; r != nil {
		r.MayHaveRun = r.MayHaveRun || undecided
	}
	switch {
	case result.Chat != nil:
		u.undecidedUntil = time.Time{}
	case ownOutcomeUnknown:
		k.dropExpired(now)
		u.undecidedUntil = now.Add(undecidedTTL)
	}
	if u.running == 0 && !now.Before(u.undecidedUntil) {
		delete(k.uses, id)
		return result
	}
	k.uses[id] = u
	return result
}

// mayHaveRun reports whether a call without an answer may have run.
func mayHaveRun(r peer.Result) bool {
	if r.Redirect != nil {
		return r.Redirect.MayHaveRun
	}
	return r.Refusal != nil && r.Refusal.Run != peer.NotRun
}

// dropExpired forgets the keys that are no longer undecided. Only calls of unknown outcome leave such keys, so it is enough to
// look for them when another one is added.
func (k *keyUses) dropExpired(now time.Time) {
	for id, u := range k.uses {
		if u.running == 0 && !now.Before(u.undecidedUntil) {
			delete(k.uses, id)
		}
	}
}
