package programs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// Leaders calls the instances that lead partitions.
type Leaders interface {
	// Do calls a method of a partition's leader, or local if that is this instance or no leader answers. unanswered reports
	// whether the method may have taken effect at a leader that did not answer, whatever the error is.
	Do(ctx context.Context, p partlog.Partition, method string, params, result any, local func() error) (unanswered bool, err error)
	// Rank returns the place of this instance in the order in which instances lead a partition, from 0.
	Rank(p partlog.Partition) int
	// Near returns the partitions whose leader is in the zone of this instance.
	Near(partitions []partlog.Partition) []partlog.Partition
}

// Names of methods.
const (
	methodRecord = "record"
	methodTurns  = "turns"
)

// standbyRank is the last place in the order of leaders at which an instance keeps reading a partition, so that it can lead
// it without a long read first.
const standbyRank = 1

type recordParams struct {
	Partition    partlog.Partition `json:"partition"`
	Reservations []wireReservation `json:"reservations,omitempty"`
	Settlements  []wireAccount     `json:"settlements,omitempty"`
	// Turns are encoded as in the log.
	Turns     [][]byte `json:"turns,omitempty"`
	TimeoutMs int64    `json:"timeoutMs"`
}

type wireReservation struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Turn      string          `json:"turn"`
	Budget    ids.Tokens      `json:"budget"`
	Tokens    ids.Tokens      `json:"tokens"`
	Least     ids.Tokens      `json:"least"`
}

type recordResult struct {
	Granted []grant `json:"granted,omitempty"`
	Failure failure `json:"failure,omitempty"`
}

type turnsParams struct {
	Partition partlog.Partition `json:"partition"`
	Turns     []call.ID         `json:"turns"`
	// MemoryOnly asks for turns in the leader's memory, without a read of the partition.
	MemoryOnly bool `json:"memoryOnly,omitempty"`
}

// turnsResult has the turns that were asked for and are known, with the turns before them, encoded as in the log.
type turnsResult struct {
	Turns   [][]byte `json:"turns,omitempty"`
	Failure failure  `json:"failure,omitempty"`
}

// failure says why the leader of a partition could not use the log; empty if it could.
type failure string

const (
	failureThrottled   failure = "throttled"
	failureUnavailable failure = "unavailable"
	failureNotApplied  failure = "notApplied"
	failureUnknown     failure = "unknown"
)

func toFailure(err error) failure {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, partlog.ErrUnavailable):
		return failureUnavailable
	case errors.Is(err, partlog.ErrThrottled):
		return failureThrottled
	case errors.Is(err, partlog.ErrNotApplied):
		return failureNotApplied
	default:
		return failureUnknown
	}
}

// errLeader is wrapped by errors of the log that the leader of a partition has reported.
var errLeader = errors.New("the partition's leader could not use the log")

func (f failure) err() error {
	switch f {
	case "":
		return nil
	case failureUnavailable:
		return errors.Join(errLeader, partlog.ErrNotApplied, partlog.ErrUnavailable)
	case failureThrottled:
		return errors.Join(errLeader, partlog.ErrNotApplied, partlog.ErrThrottled)
	case failureNotApplied:
		return errors.Join(errLeader, partlog.ErrNotApplied)
	default:
		return errors.Join(errLeader, partlog.ErrOutcomeUnknown)
	}
}

// errLeaderUnanswered is the error of a write that failed after a leader that did not answer may have applied it. It does
// not wrap the errors of the later attempts, which may wrap partlog.ErrNotApplied.
func errLeaderUnanswered(later error) error {
	return errors.Join(partlog.ErrOutcomeUnknown, fmt.Errorf("a leader did not answer, and then: %s", later.Error()))
}

// write writes a batch through the partition's leader, or through the own writer if there are no leaders.
func (s *Store) write(ctx context.Context, p *partition, b batch) (granted []grant, err error) {
	if s.Leaders == nil {
		return p.submit(ctx, b)
	}
	params := recordParams{Partition: p.id, Turns: b.turns, TimeoutMs: ids.Millis(writeTimeout)}
	if deadline, ok := ctx.Deadline(); ok {
		params.TimeoutMs = ids.Millis(time.Until(deadline))
	}
	for _, r := range b.reservations {
		params.Reservations = append(params.Reservations, wireReservation{
			Workspace: r.key.Workspace, Program: r.key.Program, Turn: r.turn, Budget: r.budget, Tokens: r.tokens, Least: r.least,
		})
	}
	for _, r := range b.settlements {
		params.Settlements = append(params.Settlements, toWireAccount(r))
	}
	var result recordResult
	unanswered, err := s.Leaders.Do(ctx, p.id, methodRecord, params, &result, func() error {
		granted, err := p.submit(ctx, b)
		result = recordResult{Granted: granted}
		return err
	})
	if err == nil {
		err = result.Failure.err()
	}
	if err == nil && len(result.Granted) != len(b.reservations) {
		err = errors.Join(errLeader, partlog.ErrOutcomeUnknown)
	}
	if err != nil && unanswered {
		err = errLeaderUnanswered(err)
	}
	return result.Granted, err
}

// Methods returns the methods that other instances call.
func (s *Store) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodRecord: rpc.Typed(s.serveRecord),
		methodTurns:  rpc.Typed(s.serveTurns),
	}
}

// maxLeaderTimeout bounds how long another instance may make this one work on a call.
const maxLeaderTimeout = 5 * time.Second

// maxWireTokens bounds the tokens in a message, so that sums of them don't overflow.
const maxWireTokens ids.Tokens = 1 << 50

// batch returns the records of a message. It refuses records that the readers of the log would skip or take for something
// else, because the ledgers of instances would differ from then on.
func (a recordParams) batch() (b batch, err error) {
	for _, r := range a.Reservations {
		if r.Turn == "" || r.Program == "" || r.Least < 0 || r.Tokens < r.Least || max(r.Tokens, r.Budget) > maxWireTokens {
			return b, errors.New("reservation without turn or program, or with invalid tokens")
		}
		b.reservations = append(b.reservations, reservation{
			key:  account.Key{Workspace: r.Workspace, Program: r.Program},
			turn: r.Turn, budget: r.Budget, tokens: r.Tokens, least: r.Least,
		})
	}
	for _, w := range a.Settlements {
		if err := w.check(); err != nil {
			return b, err
		}
		if !w.Settled || w.Tokens > maxWireTokens {
			return b, errors.New("settlement that does not settle, or with invalid tokens")
		}
		b.settlements = append(b.settlements, w.record())
	}
	for _, t := range a.Turns {
		if !isTurn(t) {
			return b, errors.New("turn without a first line")
		}
		if _, err := decodeTurn(t); err != nil {
			return b, err
		}
	}
	b.turns = a.Turns
	return b, nil
}

// serveRecord writes a batch of another instance.
func (s *Store) serveRecord(ctx context.Context, a recordParams) (any, error) {
	timeout := min(max(time.Duration(a.TimeoutMs)*time.Millisecond, 0), maxLeaderTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err := a.batch()
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "invalid record: " + err.Error()}
	}
	p, err := s.ledPartition(a.Partition)
	if err != nil {
		return nil, err
	}
	granted, err := p.submit(ctx, b)
	return recordResult{Granted: granted, Failure: toFailure(err)}, nil
}

// serveTurns returns turns that this instance has in memory or finds in a partition.
func (s *Store) serveTurns(ctx context.Context, a turnsParams) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, maxLeaderTimeout)
	defer cancel()
	p, err := s.ledPartition(a.Partition)
	if err != nil {
		return nil, err
	}
	if a.MemoryOnly {
		return turnsResult{Turns: encodeTurns(s.turnsInMemory(a.Turns))}, nil
	}
	turns, err := p.findTurns(ctx, s.Now(), a.Turns)
	return turnsResult{Turns: encodeTurns(turns), Failure: toFailure(err)}, nil
}

func encodeTurns(turns []*Turn) (encoded [][]byte) {
	for _, t := range turns {
		encoded = append(encoded, encodeTurn(*t))
	}
	return encoded
}

// ledPartition returns a partition that another instance has named.
func (s *Store) ledPartition(id partlog.Partition) (*partition, error) {
	if !slices.Contains(s.Programs.Partitions(), id) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: fmt.Sprintf("no partition %s/%d of programs", id.Topic, id.Part)}
	}
	return s.partitionOf(id), nil
}

// Standby reads the partitions that this instance may have to lead. It is meant to be called about once a second.
func (s *Store) Standby(ctx context.Context) {
	if s.Leaders == nil {
		return
	}
	for _, id := range s.Programs.Partitions() {
		if s.Leaders.Rank(id) > standbyRank {
			continue
		}
		ctx, cancel := context.WithTimeout(pacedlog.WithKind(ctx, logpace.Background), attemptTimeout)
		_ = s.partitionOf(id).read(ctx, s.Now())
		cancel()
	}
}
