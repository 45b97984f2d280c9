package telemetry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
)

const (
	// StoreUseCheckInterval is the interval at which TakeStoreUse is to be called.
	StoreUseCheckInterval = 2 * time.Second
	// storeUseInterval is the interval at which the use of the log is due while it answers.
	storeUseInterval = 10 * time.Second
	// maxUnansweredPart is the part of the calls between two checks above which the use of the log is due at once.
	maxUnansweredPart = 0.1
	// maxTopics is the number of topics and keyspaces that are counted apart. A call for another instance may name any topic.
	maxTopics = 16
	// maxTopicBytes is the length above which the name of a topic is not shown.
	maxTopicBytes = 64
	// maxStoreRows is the number of rows of a StoreUse, which bounds the log line.
	maxStoreRows = 24
	// other stands for the topics above maxTopics, and for everything in the row of the rows above maxStoreRows.
	other = "other"
)

// StoreUse describes the calls to the platform's log in an interval.
type StoreUse struct {
	Interval time.Duration
	// Calls has at most maxStoreRows rows, those with the most calls that were not answered first.
	Calls []StoreRow
}

// StoreRow counts the calls with one topic or keyspace, name and kind.
type StoreRow struct {
	Topic string `json:"topic"`
	Call  string `json:"call"`
	Kind  string `json:"kind"`
	// The counts of calls by outcome.
	Answered   int `json:"answered,omitempty"`
	Throttled  int `json:"throttled,omitempty"`
	Refused    int `json:"refused,omitempty"`
	Unanswered int `json:"unanswered,omitempty"`
	NotSent    int `json:"notSent,omitempty"`
	// UnansweredMs is the time that the unanswered calls took together, in milliseconds.
	UnansweredMs int64 `json:"unansweredMs,omitempty"`
	// Sent and Received are in bytes.
	Sent     int `json:"sent,omitempty"`
	Received int `json:"received,omitempty"`
}

// notAnswered returns the number of calls that the log did not answer, or refused.
func (r StoreRow) notAnswered() int { return r.Throttled + r.Refused + r.Unanswered + r.NotSent }

func (r *StoreRow) add(o StoreRow) {
	r.Answered += o.Answered
	r.Throttled += o.Throttled
	r.Refused += o.Refused
	r.Unanswered += o.Unanswered
	r.NotSent += o.NotSent
	r.UnansweredMs += o.UnansweredMs
	r.Sent += o.Sent
	r.Received += o.Received
}

// storeKey holds what the calls of a row have in common.
type storeKey struct{ topic, call, kind string }

// storeUse counts the calls to the platform's log.
type storeUse struct {
	mu         sync.Mutex
	topics     map[string]struct{} // names of topics and keyspaces that are counted apart, since the start
	rows       map[storeKey]*StoreRow
	unanswered map[storeKey]time.Duration
	since      time.Time // when the rows were last taken
	// made and notAnswered count the calls since the last check.
	made, notAnswered int
}

func newStoreUse() storeUse {
	return storeUse{
		topics: make(map[string]struct{}), rows: make(map[storeKey]*StoreRow), unanswered: make(map[storeKey]time.Duration),
	}
}

// add counts a call and returns the topic under which it is counted.
func (u *storeUse) add(c partlog.Call, kind string) (topic string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := storeKey{u.topicOf(c.Topic), c.Name, kind}
	row := u.rows[key]
	if row == nil {
		row = &StoreRow{Topic: key.topic, Call: key.call, Kind: key.kind}
		u.rows[key] = row
	}
	u.made++
	if c.Outcome != partlog.Answered {
		u.notAnswered++
	}
	switch c.Outcome {
	case partlog.Answered:
		row.Answered++
	case partlog.Throttled:
		row.Throttled++
	case partlog.Refused:
		row.Refused++
	case partlog.Unanswered:
		row.Unanswered++
		u.unanswered[key] += c.Took
	case partlog.NotSent:
		row.NotSent++
	}
	row.Sent += c.Sent
	row.Received += c.Received
	return key.topic
}

// topicOf returns the name under which a topic is counted: that of its keyspace, which has many topics with an even load, or other if
// enough names are counted apart already.
func (u *storeUse) topicOf(topic string) string {
	topic = partlog.KeyspaceOf(topic)
	if _, known := u.topics[topic]; known {
		return topic
	}
	if len(u.topics) == maxTopics || len(topic) > maxTopicBytes {
		return other
	}
	u.topics[topic] = struct{}{}
	return topic
}

// TakeStoreUse returns and forgets the calls to the platform's log since they were last taken, if they are due: after
// storeUseInterval, or if more than maxUnansweredPart of the calls since the last check were not answered or were refused, but
// not within StoreUseCheckInterval of the last time. The first check begins the first interval.
func (m *Metrics) TakeStoreUse(now time.Time) (use StoreUse, due bool) {
	return m.use.take(now)
}

func (u *storeUse) take(now time.Time) (use StoreUse, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since.IsZero() {
		u.since = now
	}
	use.Interval = now.Sub(u.since)
	if use.Interval < StoreUseCheckInterval {
		return use, false
	}
	failing := float64(u.notAnswered) > maxUnansweredPart*float64(u.made)
	u.made, u.notAnswered = 0, 0
	if !failing && use.Interval < storeUseInterval {
		return use, false
	}
	use.Calls = make([]StoreRow, 0, len(u.rows))
	for key, row := range u.rows {
		row.UnansweredMs = u.unanswered[key].Milliseconds()
		use.Calls = append(use.Calls, *row)
	}
	clear(u.rows)
	clear(u.unanswered)
	u.since = now
	slices.SortFunc(use.Calls, func(a, b StoreRow) int {
		return cmp.Or(cmp.Compare(b.notAnswered(), a.notAnswered()), cmp.Compare(b.Answered, a.Answered),
			cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Call, b.Call), cmp.Compare(a.Kind, b.Kind))
	})
	use.Calls = boundRows(use.Calls)
	return use, true
}

// boundRows replaces the last rows by their sum if there are more than maxStoreRows.
func boundRows(rows []StoreRow) []StoreRow {
	if len(rows) <= maxStoreRows {
		return rows
	}
	rest := StoreRow{Topic: other, Call: other, Kind: other}
	for _, r := range rows[maxStoreRows-1:] {
		rest.add(r)
	}
	return append(rows[:maxStoreRows-1], rest)
}
