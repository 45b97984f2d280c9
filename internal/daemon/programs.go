package daemon

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/internal/dispatcher"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/prefix"
)

// programs implements dispatcher.Programs.
type programs struct{ d *Daemon }

// livesTimeout bounds the question to one owner; without an answer nothing is released.
const livesTimeout = time.Second

// Lives asks the owner of each slot about the slot's programs.
func (p programs) Lives(ctx context.Context, all []dispatcher.ProgramID) []prefix.Life {
	lives := make([]prefix.Life, len(all))
	bySlot := map[ids.Slot][]int{}
	for i, id := range all {
		s := ids.SlotOf(id.Workspace, id.Program, p.d.settings.Ownership.Slots)
		bySlot[s] = append(bySlot[s], i)
	}
	for s, indexes := range bySlot {
		ask := peer.Lives{Slot: s}
		for _, i := range indexes {
			ask.Programs = append(ask.Programs, peer.ProgramOfSlot{Workspace: all[i].Workspace, Program: all[i].Program})
		}
		answer := p.ask(ctx, ask)
		if answer.NotOwner || len(answer.Living) != len(indexes) {
			continue
		}
		for k, i := range indexes {
			lives[i] = prefix.Ended
			if answer.Living[k] {
				lives[i] = prefix.Living
			}
		}
	}
	return lives
}

func (p programs) ask(ctx context.Context, ask peer.Lives) (a peer.Lived) {
	w, _, _ := p.d.fleet.Owner(ask.Slot)
	if w == p.d.self {
		return p.d.slots.Lives(ask)
	}
	address, ok := p.d.members.Address(w)
	if w == "" || !ok {
		return peer.Lived{NotOwner: true}
	}
	ctx, cancel := context.WithTimeout(ctx, livesTimeout)
	defer cancel()
	if err := (prober{p.d.peers, p.d}).Call(ctx, address, peer.MethodLives, ask, &a); err != nil {
		return peer.Lived{NotOwner: true}
	}
	return a
}
