// Package catchup takes entries of the config stream from other daemons while the log cannot be read here, so that a
// daemon that is cut from the log still learns of a withdrawn key. A peer is trusted like the log: it has a certificate
// of the fleet.
package catchup

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// interval is how often the need for entries is looked at.
	interval = 250 * time.Millisecond
	// unreadAfter is the age of the last own up-to-date read from which peers are asked. On an idle stream that works it
	// is up to two waits of a read, 2 s; with 3 s, three fifths of the 5 s for which a configuration is fresh have passed.
	unreadAfter = 3 * time.Second
	callTimeout = time.Second
)

// Journal is the journal of the config stream.
type Journal interface {
	Status() journal.Status
	Recent(from ids.Offset) (p logservice.Page, ok bool)
	Feed(from ids.Offset, p logservice.Page) error
}

// Members tells which peers have a newer configuration.
type Members interface {
	Ahead(r ids.Revision) []peer.Address
}

// Peers calls peers.
type Peers interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error
}

// Config configures a Catchup.
type Config struct {
	Journal  Journal
	Members  Members
	Peers    Peers
	Revision func() ids.Revision
	Logger   *zap.Logger
}

// Catchup asks peers for entries and answers them.
type Catchup struct{ Config }

// New returns a Catchup; Run makes it ask.
func New(c Config) *Catchup { return &Catchup{Config: c} }

// Run asks for entries that are missing until ctx ends.
func (c *Catchup) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if to, ok := c.due(now); ok {
				c.fetch(ctx, to)
			}
		}
	}
}

// due returns a peer to ask, at random, so that one that lacks entries or does not answer is not asked each time. A
// daemon that was started without contact with the log waits for its first own read: it knows no owners before, so
// admitted requests would only wait for their deadlines.
func (c *Catchup) due(now time.Time) (to peer.Address, ok bool) {
	fresh := c.Journal.Status().Fresh
	if fresh.IsZero() || now.Sub(fresh) < unreadAfter {
		return to, false
	}
	ahead := c.Members.Ahead(c.Revision())
	if len(ahead) == 0 {
		return to, false
	}
	return ahead[rand.IntN(len(ahead))], true
}

func (c *Catchup) fetch(ctx context.Context, to peer.Address) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	from := c.Journal.Status().Next
	var answer peer.EntryPage
	err := c.Peers.Call(ctx, to, peer.MethodEntries, peer.Entries{From: from}, &answer)
	if err != nil || answer.Missing {
		c.Logger.Debug("ask a peer for entries", zap.String("peer", string(to.Instance)), zap.Error(err))
		return
	}
	p := logservice.Page{Next: answer.Next}
	for _, e := range answer.Entries {
		p.Entries = append(p.Entries, logservice.Entry(e))
	}
	if err := c.Journal.Feed(from, p); err != nil {
		c.Logger.Warn("entries of a peer", zap.String("peer", string(to.Instance)), zap.Error(err))
		return
	}
	events.Log(c.Logger, events.EntriesFromPeer, zap.String("instance", string(to.Instance)), zap.Int64("from", int64(from)),
		zap.Int("entries", len(p.Entries)), zap.Int64("configRevision", int64(c.Revision())))
}

// Serve answers a peer.
func (c *Catchup) Serve(e peer.Entries) (answer peer.EntryPage) {
	p, ok := c.Journal.Recent(e.From)
	if !ok {
		return peer.EntryPage{Missing: true}
	}
	answer.Next = p.Next
	for _, e := range p.Entries {
		answer.Entries = append(answer.Entries, peer.Entry(e))
	}
	return answer
}
