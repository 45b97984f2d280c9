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
}

// heldTurn is a turn in memory with the partition that has its record.
type heldTurn struct {
	*Turn
	partition *partition
}

func newTurnMemory() *turnMemory {
	return &turnMemory{turns: make(map[call.ID]*heldTurn), neededAt: make(map[call.ID]time.Time)}
}

func (m *turnMemory) add(t *Turn, p *partition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A record that is read again may be older than a copy of the turn in another partition.
	if held := m.turns[t.ID]; held == nil || !held.At.After(t.At) {
		m.turns[t.ID] = &heldTurn{Turn: t, partition: p}
	}
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

// drop removes the turns that no turn has needed for a time, and returns how many of each partition it removed.
func (m *turnMemory) drop(now time.Time, unneeded time.Duration) map[*partition]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	dropped := make(map[*partition]int)
	for id, at := range m.neededAt {
		if now.Sub(at) <= unneeded {
			continue
		}
		delete(m.neededAt, id)
		if t := m.turns[id]; t != nil {
			dropped[t.partition]++
			delete(m.turns, id)
		}
	}
	return dropped
}
