package turnstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// wireTurn is the first line of a turn's record; the input and the output follow it as they are.
type wireTurn struct {
	ID         call.ID         `json:"id"`
	Workspace  ids.WorkspaceID `json:"workspace"`
	Chain      []call.ID       `json:"chain,omitempty"`
	InputBytes int             `json:"inputBytes"`
	AtMs       int64           `json:"atMs"`
}

func encode(t Turn) []byte {
	// The type holds nothing that cannot be marshalled.
	head, _ := json.Marshal(wireTurn{
		ID: t.ID, Workspace: t.Workspace, Chain: t.Chain, InputBytes: len(t.Input), AtMs: t.At.UnixMilli(),
	})
	b := make([]byte, 0, len(head)+1+len(t.Input)+len(t.Output))
	b = append(b, head...)
	b = append(b, '\n')
	b = append(b, t.Input...)
	return append(b, t.Output...)
}

func decode(data []byte) (t *Turn, err error) {
	head, rest, ok := bytes.Cut(data, []byte("\n"))
	if !ok {
		return nil, errors.New("a turn's record has no first line")
	}
	var w wireTurn
	if err := json.Unmarshal(head, &w); err != nil {
		return nil, err
	}
	if w.ID == "" || w.InputBytes < 0 || w.InputBytes > len(rest) {
		return nil, errors.New("a turn's record lacks its id or its input")
	}
	rest = bytes.Clone(rest)
	return &Turn{
		ID: w.ID, Workspace: w.Workspace, Chain: w.Chain, Input: rest[:w.InputBytes:w.InputBytes], Output: rest[w.InputBytes:],
		At: time.UnixMilli(w.AtMs),
	}, nil
}
