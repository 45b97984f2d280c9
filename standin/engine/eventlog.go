package engine

import (
	"sort"
	"time"
)

// CacheEvent says how many tokens the engine holds for a program since the event.
type CacheEvent struct {
	Number    int64  `json:"number"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Program   string `json:"program"`
	Tokens    int    `json:"tokens"`

	at time.Time
}

// CacheEvents is the body of GET /v1/cache/events.
type CacheEvents struct {
	Oldest int64        `json:"oldest"`
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// eventLog numbers cache events and keeps the newest. It is not safe for concurrent use.
type eventLog struct {
	next   int64
	events []CacheEvent
}

func newEventLog() *eventLog { return &eventLog{next: 1} }

// record adds an event for each changed entry.
func (l *eventLog) record(c *prefixCache, now time.Time) {
	ids := make([]string, 0, len(c.changed))
	for id := range c.changed {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		e := c.changed[id]
		delete(c.changed, id)
		if e.tokens == e.reported {
			continue
		}
		e.reported = e.tokens
		l.events = append(l.events, CacheEvent{
			Number: l.next, ID: id, Workspace: e.key.workspace, Program: e.key.program, Tokens: e.tokens, at: now,
		})
		l.next++
	}
	if n := len(l.events) - maxCacheEvents; n > 0 {
		l.events = append([]CacheEvent(nil), l.events[n:]...)
	}
}

// page returns the events from a number on that were recorded before a time. With dropEvery above 0 each event whose
// number is a multiple of it is missing.
func (l *eventLog) page(from int64, before time.Time, dropEvery int64) CacheEvents {
	p := CacheEvents{Oldest: l.next - int64(len(l.events)), Events: []CacheEvent{}}
	p.Next = max(from, p.Oldest)
	for _, e := range l.events {
		if e.at.After(before) {
			break
		}
		if e.Number < p.Next {
			continue
		}
		p.Next = e.Number + 1
		if dropEvery == 0 || e.Number%dropEvery != 0 {
			p.Events = append(p.Events, e)
		}
	}
	return p
}
