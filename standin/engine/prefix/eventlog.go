package prefix

import (
	"sort"
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/costs"
)

// Event reports a change of the number of tokens that the engine caches for a program. Tokens is the new number.
type Event struct {
	Number    int64  `json:"number"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Program   string `json:"program"`
	Tokens    int    `json:"tokens"`

	at time.Time
}

// Events is the body of GET /v1/cache/events.
type Events struct {
	// Oldest is the number of the oldest kept event, or of the next event if none is kept.
	Oldest int64 `json:"oldest"`
	// Next is the number to read from next.
	Next   int64   `json:"next"`
	Events []Event `json:"events"`
}

// EventLog numbers cache events from 1 and keeps the newest costs.MaxCacheEvents. It is not safe for concurrent use.
type EventLog struct {
	next   int64
	events []Event
}

// NewEventLog returns an empty log.
func NewEventLog() *EventLog { return &EventLog{next: 1} }

// Record adds an event for each entry whose number of tokens has changed since the last call, in the order of the ids.
func (l *EventLog) Record(c *Cache, now time.Time) {
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
		l.events = append(l.events, Event{
			Number: l.next, ID: id, Workspace: e.key.Workspace, Program: e.key.Program, Tokens: e.tokens, at: now,
		})
		l.next++
	}
	if n := len(l.events) - costs.MaxCacheEvents; n > 0 {
		l.events = append([]Event(nil), l.events[n:]...)
	}
}

// Page returns the events numbered from or higher that were recorded at or before the given time. If dropEvery is above 0,
// events whose number is a multiple of it are left out.
func (l *EventLog) Page(from int64, before time.Time, dropEvery int64) Events {
	p := Events{Oldest: l.next - int64(len(l.events)), Events: []Event{}}
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
