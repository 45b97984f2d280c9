// Package publisher reads and publishes configuration for operators, through the log service.
package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Log is the part of the log service's client that a publisher needs.
type Log interface {
	Append(ctx context.Context, s ids.Stream, data []byte) (o ids.Offset, err error)
	Read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes int, wait time.Duration) (p logservice.Page, err error)
}

// Errors of a publish that was neither accepted nor rejected before the context ended.
var (
	// ErrNotPublished means that nothing was or will be published.
	ErrNotPublished = errors.New("not published")
	// ErrOutcomeUnknown means that the publish may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("not known whether it was published")
)

const (
	// confirmWait is how long an append without an answer may take to appear in the log before it is repeated.
	confirmWait = time.Second
	// retryPause is the delay between attempts. It limits the load on a log service that refuses requests.
	retryPause = 200 * time.Millisecond
)

// Publisher publishes configuration in one run of an operator's command. Its methods must not be called concurrently.
type Publisher struct {
	log    Log
	writer ids.WriterID
	seq    int64
	reader *reader
}

// New returns a publisher. Each run needs a different writer, because a publisher numbers its batches from 1.
func New(l Log, writer ids.WriterID) *Publisher {
	return &Publisher{log: l, writer: writer, reader: newReader(l, writer)}
}

// Refresh reads to the end of the config stream and returns the configuration in force.
func (p *Publisher) Refresh(ctx context.Context) (v *config.View, err error) {
	defer func() { err = oops.In("publisher").Wrapf(err, "read the configuration") }()
	var cause error
	for {
		atEnd, err := p.reader.read(ctx, 0)
		switch {
		case err == nil && atEnd:
			return p.reader.catalog.Current(), nil
		case err == nil:
			continue
		case cause == nil || ctx.Err() == nil:
			cause = err // keeps an earlier error rather than the one caused by the end of the context
		}
		if !sleep(ctx, retryPause) {
			return nil, cause
		}
	}
}

// Publish appends a publish and reads the log until it finds the record. It returns the object's new revision. If the
// publish is rejected, the error is a *config.ConflictError, *config.InvalidError or *config.UnknownError. If the
// context ends first, it is ErrNotPublished or ErrOutcomeUnknown.
func (p *Publisher) Publish(ctx context.Context, body *record.Publish) (r ids.Revision, err error) {
	v, err := p.Refresh(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotPublished, err)
	}
	// Revisions only grow, so a publish that conflicts now will always conflict and need not be appended.
	if _, err := v.Publish(ids.Revision(p.reader.replay.Next()), body); err != nil {
		return 0, err
	}
	data, err := p.encode(body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotPublished, err)
	}
	return p.append(ctx, data)
}

func (p *Publisher) encode(body *record.Publish) (data []byte, err error) {
	rec, err := record.New(body)
	if err != nil {
		return nil, err
	}
	p.seq++
	return record.Batch{Writer: p.writer, Seq: p.seq, Records: []record.Record{rec}}.Encode()
}

// append appends a batch until it is read back. Readers ignore all copies but the first.
func (p *Publisher) append(ctx context.Context, data []byte) (r ids.Revision, err error) {
	mayBeAppended, answered := false, false
	for {
		if !answered {
			_, err = p.log.Append(ctx, ids.ConfigStream, data)
			answered = err == nil
			mayBeAppended = mayBeAppended || answered || mayBeSent(err)
		}
		if mayBeAppended {
			result, seen, readErr := p.await(ctx)
			if seen {
				return result.revision, result.err
			}
			err = errors.Join(err, readErr)
		}
		if sleep(ctx, retryPause) {
			continue
		}
		if mayBeAppended {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errors.Join(err, ctx.Err()))
		}
		return 0, fmt.Errorf("%w: %w", ErrNotPublished, errors.Join(err, ctx.Err()))
	}
}

// await reads the log until the publisher's last batch appears or confirmWait has passed.
func (p *Publisher) await(ctx context.Context) (r publishResult, seen bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for {
		if r, seen = p.reader.results[p.seq]; seen {
			return r, true, nil
		}
		if _, err = p.reader.read(ctx, confirmWait); err != nil {
			return publishResult{}, false, err
		}
		if ctx.Err() != nil {
			r, seen = p.reader.results[p.seq]
			return r, seen, nil
		}
	}
}

// Edit changes a workspace's parameters. If it returns an error, nothing is published.
type Edit func(w *config.Workspace) error

// ChangeWorkspace applies edit to a workspace and publishes the result. After a conflict it starts again from the
// current revision.
func (p *Publisher) ChangeWorkspace(ctx context.Context, id ids.WorkspaceID, edit Edit) (r ids.Revision, err error) {
	for {
		v, err := p.Refresh(ctx)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotPublished, err)
		}
		object := config.ObjectName(config.WorkspaceKind, string(id))
		w, ok := v.Workspace(id)
		if !ok {
			return 0, &config.InvalidError{Object: object, Reasons: []string{"there is no such workspace"}}
		}
		if err := edit(&w); err != nil {
			return 0, &config.InvalidError{Object: object, Reasons: []string{err.Error()}}
		}
		document, err := json.Marshal(w)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotPublished, err)
		}
		r, err = p.Publish(ctx, &record.Publish{Object: object, Base: w.Revision, Document: document})
		var conflict *config.ConflictError
		if !errors.As(err, &conflict) || ctx.Err() != nil {
			return r, err
		}
	}
}

// mayBeSent reports whether a failed append may have taken effect.
func mayBeSent(err error) bool {
	var e interface{ Sent() bool }
	return !errors.As(err, &e) || e.Sent()
}

// sleep blocks for d and returns true, or returns false as soon as the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}
