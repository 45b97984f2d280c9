package programs

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// wireAccount is the encoding of a reservation or a settlement in the log.
type wireAccount struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Turn      string          `json:"turn"`
	Tokens    ids.Tokens      `json:"tokens"`
	Settled   bool            `json:"settled,omitempty"`
	AtMs      int64           `json:"atMs"`
}

// wireTurn is the first line of a turn's record. The raw bytes of the input and the output follow it.
type wireTurn struct {
	ID         call.ID         `json:"id"`
	Workspace  ids.WorkspaceID `json:"workspace"`
	Program    ids.ProgramID   `json:"program"`
	Chain      []call.ID       `json:"chain,omitempty"`
	InputBytes int             `json:"inputBytes"`
	AtMs       int64           `json:"atMs"`
}

// wireIndex is an index record. It maps a turn to its program.
type wireIndex struct {
	ID        call.ID         `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
}

// marshal encodes one of the types above. All their fields can be encoded, so there is no error.
func marshal(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}

func toWireAccount(r account.Record) wireAccount {
	return wireAccount{
		Workspace: r.Key.Workspace, Program: r.Key.Program, Turn: r.Turn, Tokens: r.Tokens, Settled: r.Settled,
		AtMs: r.At.UnixMilli(),
	}
}

func (w wireAccount) record() account.Record {
	return account.Record{
		Key: account.Key{Workspace: w.Workspace, Program: w.Program}, Turn: w.Turn, Tokens: w.Tokens, Settled: w.Settled,
		At: time.UnixMilli(w.AtMs),
	}
}

func encodeAccount(r account.Record) []byte { return marshal(toWireAccount(r)) }

func decodeAccount(data []byte) (r account.Record, err error) {
	var w wireAccount
	if err := json.Unmarshal(data, &w); err != nil {
		return r, err
	}
	return w.record(), w.check()
}

func (w wireAccount) check() error {
	if w.Turn == "" || w.Program == "" || w.Tokens < 0 {
		return errors.New("reservation or settlement without turn or program, or with negative tokens")
	}
	return nil
}

// isTurn reports whether a record is a turn's. Reservations and settlements consist of one line.
func isTurn(data []byte) bool { return bytes.IndexByte(data, '\n') >= 0 }

func encodeTurn(t Turn) []byte {
	head := marshal(wireTurn{
		ID: t.ID, Workspace: t.Program.Workspace, Program: t.Program.Program, Chain: t.Chain, InputBytes: len(t.Input),
		AtMs: t.At.UnixMilli(),
	})
	b := make([]byte, 0, len(head)+1+len(t.Input)+len(t.Output))
	b = append(b, head...)
	b = append(b, '\n')
	b = append(b, t.Input...)
	return append(b, t.Output...)
}

func decodeTurn(data []byte) (t *Turn, err error) {
	head, rest, _ := bytes.Cut(data, []byte("\n"))
	var w wireTurn
	if err := json.Unmarshal(head, &w); err != nil {
		return nil, err
	}
	if w.ID == "" || w.InputBytes < 0 || w.InputBytes > len(rest) {
		return nil, errors.New("turn record without id, or with less input than its length says")
	}
	rest = bytes.Clone(rest)
	return &Turn{
		ID: w.ID, Program: account.Key{Workspace: w.Workspace, Program: w.Program}, Chain: w.Chain,
		Input: rest[:w.InputBytes:w.InputBytes], Output: rest[w.InputBytes:], At: time.UnixMilli(w.AtMs),
	}, nil
}

func encodeIndex(t Turn) []byte {
	return marshal(wireIndex{ID: t.ID, Workspace: t.Program.Workspace, Program: t.Program.Program})
}

func decodeIndex(data []byte) (id call.ID, k account.Key, err error) {
	var w wireIndex
	if err := json.Unmarshal(data, &w); err != nil {
		return "", k, err
	}
	if w.ID == "" {
		return "", k, errors.New("index record without turn")
	}
	return w.ID, account.Key{Workspace: w.Workspace, Program: w.Program}, nil
}
