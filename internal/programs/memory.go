package programs

import (
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
)

// turnMemory holds turns in memory. A turn stays as long as a turn that continues it: a conversation needs its oldest turn
// as long as its newest one. It is safe for concurrent use.
type turnMemory struct {
	mu    sync.Mutex
	turns map[call.ID]*heldTurn
	// neededAt is when the youngest turn ended that needs a turn, the turn itself included. It also has turns that are not
	// in memory, because a turn may be read before those that it continues.
	neededAt map[call.ID]time.Time
	// drops has the number of drops that have removed turns of a partition.
	drops map[*partition]int
}

// heldTurn is a turn in memory with the partition that has its record; nil if only another instance knows it.
type heldTurn struct {
	*Turn
	partition *partition
}

func newTurnMemory() *turnMemory {
	return &turnMemory{
		turns: make(map[call.ID]*heldTurn), neededAt: make(map[call.ID]time.Time), drops: make(map[*partition]int),
	}
}

// add adds a turn whose record was read from, or written to, a partition.
func (m *turnMemory) add(t *Turn, p *partition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.turns[t.ID]
	switch {
	case held == nil || !held.At.After(t.At):
		m.turns[t.ID] = &heldTurn{Turn: t, partition: p}
	case held.partition == nil:
		held.partition = p
	}
	// Otherwise the turn in memory is a newer copy of it, from another partition.
	m.needAll(t)
}

// addFetched adds a turn that another instance has sent, which may be in any partition.
func (m *turnMemory) addFetched(t *Turn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.turns[t.ID]
	switch {
	case held == nil:
		m.turns[t.ID] = &heldTurn{Turn: t}
	case t.At.After(held.At):
		held.Turn = t
	}
	m.needAll(t)
}

// needAll records that a turn needs itself and its chain. The caller holds the lock.
func (m *turnMemory) needAll(t *Turn) {
	m.need(t.ID, t.At)
	for _, id := range t.Chain {
		m.need(id, t.At)
	}
}

// need records that a turn is needed by one that ended at a time. The caller holds the lock.
func (m *turnMemory) need(id call.ID, at time.Time) {
	if at.After(m.neededAt[id]) {
		m.neededAt[id] = at
	}
}

func (m *turnMemory) lookup(id call.ID) *Turn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.turns[id]; t != nil {
		return t.Turn
	}
	return nil
}

func (m *turnMemory) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.turns)
}

// dropsOf returns the number of drops that have removed turns of a partition.
func (m *turnMemory) dropsOf(p *partition) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drops[p]
}

// drop removes the turns that no turn has needed for a time, and returns their number.
func (m *turnMemory) drop(now time.Time, unneeded time.Duration) (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	dropped := make(map[*partition]bool)
	for id, at := range m.neededAt {
		if now.Sub(at) <= unneeded {
			continue
		}
		delete(m.neededAt, id)
		if t := m.turns[id]; t != nil {
			dropped[t.partition] = true
			delete(m.turns, id)
			count++
		}
	}
	for p := range dropped {
		m.drops[p]++
	}
	return count
}
