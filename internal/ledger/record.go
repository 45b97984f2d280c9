package ledger

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// wireRecord is a record as it stands in the log.
type wireRecord struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Turn      string          `json:"turn"`
	Tokens    ids.Tokens      `json:"tokens"`
	Settled   bool            `json:"settled,omitempty"`
	AtMs      int64           `json:"atMs"`
}

func encode(r account.Record) []byte {
	// The type holds nothing that cannot be marshalled.
	data, _ := json.Marshal(wireRecord{
		Workspace: r.Key.Workspace, Program: r.Key.Program, Turn: r.Turn, Tokens: r.Tokens, Settled: r.Settled,
		AtMs: r.At.UnixMilli(),
	})
	return data
}

func decode(data []byte) (r account.Record, err error) {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return r, err
	}
	if w.Turn == "" || w.Program == "" || w.Tokens < 0 {
		return r, errors.New("a record of an account lacks its turn, its program or its tokens")
	}
	return account.Record{
		Key: account.Key{Workspace: w.Workspace, Program: w.Program}, Turn: w.Turn, Tokens: w.Tokens, Settled: w.Settled,
		At: time.UnixMilli(w.AtMs),
	}, nil
}
