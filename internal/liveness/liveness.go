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

// Owners provides the owners of slots and their addresses.
type Owners interface {
	// Owner returns the owner of a slot, its epoch, and a channel that is closed when any ownership changes.
	Owner(s ids.Slot) (w ids.WriterID, e ids.Epoch, changed <-chan struct{})
	// Address returns where an owner listens for peers.
	Address(w ids.WriterID) (a peer.Address, ok bool)
}

// Caller sends requests to peers.
type Caller interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error
}

// Own answers for the slots of this instance.
type Own interface {
	// QueryLiveness reports which of the programs of an owned slot exist.
	QueryLiveness(query peer.QueryLiveness) peer.LivenessResult
}

// Programs implements dispatcher.Programs.
type Programs struct {
	Self   ids.WriterID
	Slots  int
	Owners Owners
	Own    Own
	Peers  Caller
}

// queryTimeout bounds the query to one owner. Programs whose owner does not answer in time have an unknown liveness, so
// that their prefixes are not released.
const queryTimeout = time.Second

// QueryLiveness asks the owner of each program's slot whether the program exists. The result has one element for each
// program, in order.
func (p Programs) QueryLiveness(ctx context.Context, all []dispatcher.ProgramID) []prefix.Liveness {
	result := make([]prefix.Liveness, len(all))
	bySlot := map[ids.Slot][]int{}
	for i, id := range all {
		s := ids.SlotOf(id.Workspace, id.Program, p.Slots)
		bySlot[s] = append(bySlot[s], i)
	}
	for s, indexes := range bySlot {
		query := peer.QueryLiveness{Slot: s}
		for _, i := range indexes {
			query.Programs = append(query.Programs, peer.ProgramOfSlot{Workspace: all[i].Workspace, Program: all[i].Program})
		}
		answer := p.query(ctx, query)
		if answer.NotOwner || len(answer.Alive) != len(indexes) {
			continue
		}
		for k, i := range indexes {
			result[i] = prefix.Ended
			if answer.Alive[k] {
				result[i] = prefix.Alive
			}
		}
	}
	return result
}

// query asks the owner of a slot. It returns NotOwner if the owner is not known or does not answer.
func (p Programs) query(ctx context.Context, query peer.QueryLiveness) (a peer.LivenessResult) {
	w, _, _ := p.Owners.Owner(query.Slot)
	if w == p.Self {
		return p.Own.QueryLiveness(query)
	}
	address, ok := p.Owners.Address(w)
	if w == "" || !ok {
		return peer.LivenessResult{NotOwner: true}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := p.Peers.Call(ctx, address, peer.MethodLiveness, query, &a); err != nil {
		return peer.LivenessResult{NotOwner: true}
	}
	return a
}
