// Package liveness asks the owners of slots which programs exist.
package liveness

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/internal/dispatcher"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/prefix"
)

// Owners tells who owns a slot.
type Owners interface {
	Owner(s ids.Slot) (w ids.WriterID, e ids.Epoch, changed <-chan struct{})
	Address(w ids.WriterID) (a peer.Address, ok bool)
}

// Caller sends requests to peers.
type Caller interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error
}

// Own answers for the slots of this instance.
type Own interface {
	Lives(ask peer.Lives) peer.LivenessResult
}

// Programs implements dispatcher.Programs.
type Programs struct {
	Self   ids.WriterID
	Slots  int
	Owners Owners
	Own    Own
	Peers  Caller
}

// livesTimeout bounds the question to one owner; without an answer nothing is released.
const livesTimeout = time.Second

// Lives asks the owner of each slot about the slot's programs.
func (p Programs) Lives(ctx context.Context, all []dispatcher.ProgramID) []prefix.Liveness {
	lives := make([]prefix.Liveness, len(all))
	bySlot := map[ids.Slot][]int{}
	for i, id := range all {
		s := ids.SlotOf(id.Workspace, id.Program, p.Slots)
		bySlot[s] = append(bySlot[s], i)
	}
	for s, indexes := range bySlot {
		ask := peer.Lives{Slot: s}
		for _, i := range indexes {
			ask.Programs = append(ask.Programs, peer.ProgramOfSlot{Workspace: all[i].Workspace, Program: all[i].Program})
		}
		answer := p.ask(ctx, ask)
		if answer.NotOwner || len(answer.Alive) != len(indexes) {
			continue
		}
		for k, i := range indexes {
			lives[i] = prefix.Ended
			if answer.Alive[k] {
				lives[i] = prefix.Alive
			}
		}
	}
	return lives
}

func (p Programs) ask(ctx context.Context, ask peer.Lives) (a peer.LivenessResult) {
	w, _, _ := p.Owners.Owner(ask.Slot)
	if w == p.Self {
		return p.Own.Lives(ask)
	}
	address, ok := p.Owners.Address(w)
	if w == "" || !ok {
		return peer.LivenessResult{NotOwner: true}
	}
	ctx, cancel := context.WithTimeout(ctx, livesTimeout)
	defer cancel()
	if err := p.Peers.Call(ctx, address, peer.MethodLiveness, ask, &a); err != nil {
		return peer.LivenessResult{NotOwner: true}
	}
	return a
}
