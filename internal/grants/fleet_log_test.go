// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/follower"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Bounds of the large deployment, and what the gateway derives from them.
const (
	simRevoke, simRemoval = 5 * time.Second, 4 * time.Second
	freshMargin           = 700 * time.Millisecond
	maxStartWait          = 1500 * time.Millisecond
)

const (
	configKey = "config"
	// recordsTopic has the records of programs, of which only the size matters; a page of them has pageBytes.
	recordsTopic = "records"
	pageBytes    = 256 << 10
)

func (f *simFleet) append(ctx context.Context, p partlog.Partition, at ids.Offset, records [][]byte) (first ids.Offset, err error) {
	if f.appendTime == 0 {
		return f.log.Append(context.Background(), p, at, records...)
	}
	f.mu.Lock()
	now := time.Now()
	end := f.appending[p]
	if end.Before(now) {
		end = now
	}
	if end.Sub(now) > maxAppendQueue {
		f.mu.Unlock()
		return 0, partlog.ErrNotApplied
	}
	end = end.Add(f.appendTime)
	f.appending[p] = end
	f.mu.Unlock()
	done := make(chan struct{})
	time.AfterFunc(end.Sub(now), func() {
		defer close(done)
		first, err = f.log.Append(context.Background(), p, at, records...)
	})
	select {
	case <-done:
		return first, err
	case <-ctx.Done():
		return 0, errUnknownOutcome
	}
}

func (f *simFleet) send(ctx context.Context, bytes int) error {
	if f.readRate == 0 {
		return nil
	}
	f.mu.Lock()
	if now := time.Now(); f.sendingUntil.Before(now) {
		f.sendingUntil = now
	}
	f.sendingUntil = f.sendingUntil.Add(time.Duration(bytes) * time.Second / time.Duration(f.readRate))
	sent := time.NewTimer(time.Until(f.sendingUntil))
	f.mu.Unlock()
	defer sent.Stop()
	select {
	case <-sent.C:
		return nil
	case <-ctx.Done():
		return errUnknownOutcome
	}
}

func (p *simProcess) restore(ctx context.Context) {
	n := slices.Index(p.fleet.all(), p.simInstance)
	if n >= restorers {
		return
	}
	reads := partlog.Backoff{Timeout: 600 * time.Millisecond, Pause: 40 * time.Millisecond}
	part := partlog.Partition{Topic: recordsTopic, Part: n}
	for left := p.fleet.restoreBytes; left > 0 && ctx.Err() == nil; {
		try, cancel := context.WithTimeout(ctx, reads.Next())
		_, err := p.relayed.Read(try, part, 0, 0)
		cancel()
		if err == nil {
			left -= pageBytes
		}
		time.Sleep(reads.Record(err))
	}
}

func (p *simProcess) state(ctx context.Context) (s logState, err error) {
	p.waitWhileFrozen()
	p.work(p.fleet.hop)
	p.fleet.mu.Lock()
	if s = p.log; s == logUp && p.fleet.slow {
		s = logSlow
	}
	p.fleet.mu.Unlock()
	delay := logDelay / 2
	if s == logSlow {
		delay = slowLogDelay
	}
	time.Sleep(delay)
	switch {
	case !p.alive():
		return s, errUnknownOutcome
	case s == logSilent:
		<-ctx.Done()
		return s, errUnknownOutcome
	case s == logRefusing:
		return s, partlog.ErrNotApplied
	}
	return s, nil
}

func (p *simProcess) answer(ctx context.Context, s logState) error {
	delay := logDelay / 2
	if s == logSlow {
		delay = slowLogDelay
	}
	time.Sleep(delay)
	p.work(0)
	p.waitWhileFrozen()
	if ctx.Err() != nil || !p.alive() {
		return errUnknownOutcome
	}
	return nil
}

// simStore is the log as the store's client of an instance calls it.
type simStore struct{ *simProcess }

func (p simStore) Append(ctx context.Context, part partlog.Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	s, err := p.state(ctx)
	if err != nil {
		return 0, err
	}
	if s == logLosingAnswers && p.fleet.intN(2) == 0 {
		late := time.Duration(p.fleet.intN(int(maxLateAppend)))
		time.AfterFunc(late, func() { _, _ = p.fleet.log.Append(context.Background(), part, at, records...) })
		<-ctx.Done()
		return 0, errUnknownOutcome
	}
	first, err = p.fleet.append(ctx, part, at, records)
	if answerErr := p.answer(ctx, s); answerErr != nil {
		return 0, answerErr
	}
	return first, err
}

func (p simStore) Read(ctx context.Context, part partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	s, err := p.state(ctx)
	if err != nil {
		return page, err
	}
	page, err = p.fleet.log.Read(ctx, part, from, wait)
	bytes := 0
	if part.Topic == recordsTopic && from == 0 {
		bytes = pageBytes
	}
	for _, record := range page.Records {
		bytes += len(record)
	}
	if err := p.fleet.send(ctx, bytes); err != nil {
		return page, err
	}
	if answerErr := p.answer(ctx, s); answerErr != nil {
		return page, answerErr
	}
	return page, err
}

func (p simStore) Newest(ctx context.Context, part partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if _, err := p.state(ctx); err != nil {
		return nil, 0, err
	}
	bytes := 0
	switch part {
	case configPartition:
		bytes = p.fleet.configBytes
	case targetsPartition:
		bytes = p.fleet.targetsBytes
	}
	if err := p.fleet.send(ctx, bytes); err != nil {
		return nil, 0, err
	}
	end := p.fleet.log.End(part)
	if part == directoryPartition {
		return p.directory()
	}
	if part == targetsPartition {
		return nil, end, nil
	}
	return []partlog.Entry{{Key: configKey, Value: []byte{1}, Offset: end - 1}}, end, nil
}

// newFollower returns the follower of a new run, which follows a configuration and targets without content.
func (p *simProcess) newFollower(now func() time.Time) *follower.Follower {
	return follower.New(follower.Source{
		Log: p.followed, Config: configPartition, Targets: targetsPartition, ConfigKey: configKey,
		DecodeKeyed:  func(record []byte) (string, []byte, bool) { return configKey, record, true },
		DecodeConfig: func([]byte) (call.Config, error) { return call.Config{Version: 1}, nil },
		DecodeTarget: func(string, []byte) (call.Target, error) { return call.Target{}, errors.New("no target") },
	}, settings.Bounds{Revoke: simRevoke, Removal: simRemoval}, zap.NewNop(), now, func(time.Time) {})
}

// fresh reports whether the instance accepts keys, as the gateway decides it.
func (p *simProcess) fresh() bool {
	age, ok := p.follower.Freshness(p.limiter.Now())
	return ok && age <= simRevoke-freshMargin
}

// awaitStart waits for the configuration and the targets of a new run, as the gateway does.
func (p *simProcess) awaitStart() {
	left := time.Until(p.began.Add(maxStartWait))
	if left <= 0 {
		return
	}
	select {
	case <-p.follower.Started():
	case <-time.After(left):
	}
}

// encodeKeyed encodes a record of the directory, and directory returns the newest record of each of its keys.
func encodeKeyed(key string, value []byte) []byte { return append([]byte(key+"="), value...) }

func (p simStore) directory() (l []partlog.Entry, end ids.Offset, err error) {
	page, err := p.fleet.log.Read(context.Background(), directoryPartition, 0, 0)
	newest := make(map[string]partlog.Entry)
	for i, record := range page.Records {
		key, value, _ := strings.Cut(string(record), "=")
		newest[key] = partlog.Entry{Key: key, Value: []byte(value), Offset: ids.Offset(i)}
	}
	return slices.Collect(maps.Values(newest)), page.End, err
}

// uncounted ignores paced calls.
type uncounted struct{}

// PacedCall implements pacedlog.Observer.
func (uncounted) PacedCall(string, string) {}
