package reports

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Claim claims a shard of the rate limits if it is free. It returns when that is decided or ctx ends; the attempt goes on
// after ctx has ended.
func (r *Reports) Claim(ctx context.Context, s quota.Shard) {
	r.mu.Lock()
	r.wanted[s] = struct{}{}
	decided := r.decided
	r.mu.Unlock()
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-decided:
	case <-ctx.Done():
	}
}

// claimWanted claims the wanted shards that are free.
func (r *Reports) claimWanted(ctx context.Context) (err error) {
	r.mu.Lock()
	var wanted []quota.Shard
	for s := range r.wanted {
		wanted = append(wanted, s)
	}
	clear(r.wanted)
	decided := r.decided
	r.decided = make(chan struct{})
	wait := r.Now().Before(r.appendAfter)
	givenUp := r.givenUp && !wait
	r.givenUp = r.givenUp && wait
	r.mu.Unlock()
	defer close(decided)
	if givenUp {
		_, err = r.Write(ctx) // releases them
	}
	if len(wanted) == 0 || wait || err != nil {
		return err
	}
	slices.Sort(wanted)
	for range claimTries {
		log := r.Log // what a claim has not read makes it void
		select {
		case <-r.discovered:
		default:
			log = r.Followed // there is more to read than the newest reports
		}
		if err := r.read(ctx, log); err != nil {
			return err
		}
		if claimed, err := r.tryClaim(ctx, wanted); err != nil || !claimed {
			return err
		}
	}
	return r.read(ctx, r.Log)
}

// tryClaim appends a claim to wanted shards that are free; claimed is false if none is. The claim may be void, which is seen when
// it is read.
func (r *Reports) tryClaim(ctx context.Context, wanted []quota.Shard) (claimed bool, err error) {
	var claim quota.Report
	free := false
	r.Grants.View(func(l *quota.Limiter) { claim, free = l.Leases.NewClaim(r.Now(), wanted) })
	if !free {
		return false, nil
	}
	_, err = r.append(ctx, claim)
	return err == nil, err
}

// giveUpShards gives up the shards of this instance that others complain of, under r.mu. They are released without waiting for
// the next report.
func (r *Reports) giveUpShards(now time.Time) {
	var shards []quota.Shard
	r.Grants.View(func(l *quota.Limiter) { shards = l.Leases.GiveUp(now) })
	if len(shards) == 0 {
		return
	}
	events.Log(r.Logger, events.ShardsGivenUp, zap.Any("shards", shards))
	r.givenUp = true
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// applyLease applies the part of a report that concerns leases, and logs what it changes for this instance.
func (r *Reports) applyLease(now time.Time, report quota.Report) {
	var gained, lost []quota.Shard
	var validUntil time.Time
	r.Grants.View(func(l *quota.Limiter) {
		gained, lost = l.Leases.Apply(now, report)
		_, validUntil = l.Leases.Held()
	})
	if len(gained) > 0 {
		events.Log(r.Logger, events.ShardsClaimed, zap.Any("shards", gained), zap.Duration("lease", validUntil.Sub(now)))
	}
	if len(lost) > 0 {
		events.Log(r.Logger, events.ShardsLost, zap.Any("shards", lost), zap.String("owner", string(report.Run.Instance)))
	}
}

// held returns the number of shards that this instance owns, and when its lease ends.
func (r *Reports) held() (n int, validUntil time.Time) {
	r.Grants.View(func(l *quota.Limiter) { n, validUntil = l.Leases.Held() })
	return n, validUntil
}
