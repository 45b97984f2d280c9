package programs

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
)

// Methods returns the methods that other instances call.
func (s *Store) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodRecord: rpc.Typed(s.serveRecord),
		methodTurns:  rpc.Typed(s.serveTurns),
	}
}

// maxLeaderTimeout bounds how long another instance may make this one work on a call.
const maxLeaderTimeout = 5 * time.Second

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
		found, _ := s.turnsInMemory(a.Turns)
		return turnsResult{Turns: encodeTurns(found)}, nil
	}
	turns, err := p.findTurns(ctx, s.Now(), a.Turns)
	if err != nil {
		return nil, toFailure(err).toAnswer()
	}
	return turnsResult{Turns: encodeTurns(turns), Read: p.readSoFar()}, nil
}

// ledPartition returns a partition that another instance has named.
func (s *Store) ledPartition(id partlog.Partition) (*partition, error) {
	if !slices.Contains(s.Programs.Partitions(), id) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: fmt.Sprintf("no partition %s/%d of programs", id.Topic, id.Part)}
	}
	return s.partitionOf(id), nil
}
