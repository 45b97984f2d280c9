// Package catchup gets entries of the config stream from other daemons while this one cannot read the log, so that it
// still learns of a withdrawn key. A peer is trusted like the log, because it has a certificate of the fleet.
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
	// interval is how often a Catchup checks whether it needs entries.
	interval = 250 * time.Millisecond
	// unreadAfter is how long after its last read up to the end of the stream a daemon asks peers. While the log works
	// and the stream is idle, such reads are up to 2 s apart, which is two waits of a read. A configuration is fresh for
	// 5 s, so with 3 s two fifths of this time are left to get entries from a peer.
	unreadAfter = 3 * time.Second
	callTimeout = time.Second
)

// Journal is this daemon's journal of the config stream, which reads the stream and keeps its recent entries.
type Journal interface {
	Status() journal.Status
	Recent(from ids.Offset) (p logservice.Page, ok bool)
	Feed(from ids.Offset, p logservice.Page) error
}

// Members returns the peers whose configuration is newer than a revision.
type Members interface {
	Ahead(r ids.Revision) []peer.Address
}

// Peers sends requests to other daemons.
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

// Catchup requests entries from peers and serves their requests.
type Catchup struct{ Config }

// New returns a Catchup. It requests entries only while Run runs.
func New(c Config) *Catchup { return &Catchup{Config: c} }

// Run requests missing entries from peers until ctx ends.
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

// due returns a peer to ask if entries are needed. It picks the peer at random, so that one that lacks entries or does
// not answer is not asked each time. A daemon that was started without contact with the log asks no peer before its own
// first read. Until then it knows no owners, so requests that it admitted would only wait for their deadlines.
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
		c.Logger.Debug("could not get entries from a peer", zap.String("peer", string(to.Instance)), zap.Error(err))
		return
	}
	p := logservice.Page{Next: answer.Next}
	for _, e := range answer.Entries {
		p.Entries = append(p.Entries, logservice.Entry(e))
	}
	if err := c.Journal.Feed(from, p); err != nil {
		c.Logger.Warn("could not apply the entries of a peer", zap.String("peer", string(to.Instance)), zap.Error(err))
		return
	}
	events.Log(c.Logger, events.EntriesFromPeer, zap.String("peer", string(to.Instance)), zap.Int64("from", int64(from)),
		zap.Int("entries", len(p.Entries)), zap.Int64("configRevision", int64(c.Revision())))
}

// Serve handles a peer's request for entries.
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
