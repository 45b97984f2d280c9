package record

import (
	"encoding/json"
	"errors"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Open starts an epoch in a slot's stream. Records of lower epochs that follow it are rejected.
type Open struct {
	Epoch ids.Epoch    `json:"epoch"`
	Owner ids.WriterID `json:"owner"`
	// UnixMilli is the owner's time; 0 does not change the stream's time.
	UnixMilli int64 `json:"unixMilli,omitempty"`
	// KeyRetentionMillis is the retention of request keys from this record on; 0 does not change it. It is part of the
	// stream because readers with different settings would otherwise disagree on which records to reject.
	KeyRetentionMillis int64 `json:"keyRetentionMillis,omitempty"`
}

// Usage counts the tokens of one model call.
type Usage struct {
	Prompt     ids.Tokens `json:"prompt"`
	Completion ids.Tokens `json:"completion"`
	Cached     ids.Tokens `json:"cached,omitempty"`
}

// Total returns the tokens that count towards the budget.
func (u Usage) Total() ids.Tokens { return u.Prompt + u.Completion }

// Turn adds a completed model call to a program's history.
type Turn struct {
	Epoch     ids.Epoch       `json:"epoch"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	// Index is the number of turns that the program had before.
	Index       int             `json:"index"`
	Key         ids.RequestKey  `json:"key"`
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	// Messages are the call's new messages and the model's answer.
	Messages []Message `json:"messages"`
	Usage    Usage     `json:"usage"`
	// Response is the body that a repeated request with the same key is answered with.
	Response json.RawMessage `json:"response,omitempty"`
	// UnixMilli is the owner's time, which starts the retention of the key.
	UnixMilli int64 `json:"unixMilli"`
}

// Intent states that the owner is about to send a non-idempotent request.
type Intent struct {
	Epoch       ids.Epoch       `json:"epoch"`
	Workspace   ids.WorkspaceID `json:"workspace"`
	Program     ids.ProgramID   `json:"program,omitempty"`
	Key         ids.RequestKey  `json:"key"`
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	Target      ids.TargetID    `json:"target"`
	// Attempt distinguishes the owner's executions with the same key, so that a cancel removes only its own intent.
	Attempt   int64 `json:"attempt,omitempty"`
	UnixMilli int64 `json:"unixMilli"`
}

// Cancel withdraws an intent whose request was not and will not be sent.
type Cancel struct {
	Epoch     ids.Epoch       `json:"epoch"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Key       ids.RequestKey  `json:"key"`
	// Attempt is that of the intent to withdraw.
	Attempt int64 `json:"attempt,omitempty"`
}

// Outcome is the answer to a non-idempotent request.
type Outcome struct {
	Epoch     ids.Epoch       `json:"epoch"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Key       ids.RequestKey  `json:"key"`
	// Status is the answer's status code, or StatusUnknown.
	Status int `json:"status"`
	// ContentType is the answer's media type.
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// StatusUnknown is the status of an outcome if the request was sent and no answer arrived.
const StatusUnknown = 0

// Reserve raises the limit up to which a root program may spend tokens.
type Reserve struct {
	Epoch     ids.Epoch       `json:"epoch"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	UpTo      ids.Tokens      `json:"upTo"`
	UnixMilli int64           `json:"unixMilli,omitempty"`
}

// Settle states a root program's exact spending at a planned handover.
type Settle struct {
	Epoch     ids.Epoch       `json:"epoch"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	Spent     ids.Tokens      `json:"spent"`
}

// End removes a program with its sub-agents.
type End struct {
	Epoch     ids.Epoch       `json:"epoch"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
	// LastUse is the position of the last record, when the end was decided, that used the program's root or one of its
	// sub-agents. The end is rejected if a later record used them. Nil ends the program in any case.
	LastUse *ids.Position `json:"lastUse,omitempty"`
}

// Type implements Body.
func (*Open) Type() Type { return TypeOpen }

// Type implements Body.
func (*Turn) Type() Type { return TypeTurn }

// Type implements Body.
func (*Intent) Type() Type { return TypeIntent }

// Type implements Body.
func (*Cancel) Type() Type { return TypeCancel }

// Type implements Body.
func (*Outcome) Type() Type { return TypeOutcome }

// Type implements Body.
func (*Reserve) Type() Type { return TypeReserve }

// Type implements Body.
func (*Settle) Type() Type { return TypeSettle }

// Type implements Body.
func (*End) Type() Type { return TypeEnd }

var (
	errNoEpoch     = errors.New("epoch below 1")
	errNoWorkspace = errors.New("no workspace")
	errNoProgram   = errors.New("no program")
	errNoKey       = errors.New("no request key")
	errNegative    = errors.New("negative count")
)

// Validate implements Body.
func (o *Open) Validate() error {
	if o.Epoch < 1 {
		return errNoEpoch
	}
	if o.Owner == "" {
		return errNoWriter
	}
	if o.KeyRetentionMillis < 0 {
		return errNegative
	}
	return nil
}

// Validate implements Body.
func (t *Turn) Validate() error {
	if t.Index < 0 || t.Usage.Prompt < 0 || t.Usage.Completion < 0 {
		return errNegative
	}
	return errors.Join(validateProgram(t.Epoch, t.Workspace, t.Program), validateKey(t.Epoch, t.Workspace, t.Key))
}

// Validate implements Body.
func (i *Intent) Validate() error { return validateKey(i.Epoch, i.Workspace, i.Key) }

// Validate implements Body.
func (c *Cancel) Validate() error { return validateKey(c.Epoch, c.Workspace, c.Key) }

// Validate implements Body.
func (o *Outcome) Validate() error { return validateKey(o.Epoch, o.Workspace, o.Key) }

// Validate implements Body.
func (r *Reserve) Validate() error {
	if r.UpTo < 0 {
		return errNegative
	}
	return validateProgram(r.Epoch, r.Workspace, r.Program)
}

// Validate implements Body.
func (s *Settle) Validate() error {
	if s.Spent < 0 {
		return errNegative
	}
	return validateProgram(s.Epoch, s.Workspace, s.Program)
}

// Validate implements Body.
func (e *End) Validate() error { return validateProgram(e.Epoch, e.Workspace, e.Program) }

func validateProgram(e ids.Epoch, ws ids.WorkspaceID, p ids.ProgramID) error {
	switch {
	case e < 1:
		return errNoEpoch
	case ws == "":
		return errNoWorkspace
	case p == "":
		return errNoProgram
	}
	return nil
}

func validateKey(e ids.Epoch, ws ids.WorkspaceID, k ids.RequestKey) error {
	switch {
	case e < 1:
		return errNoEpoch
	case ws == "":
		return errNoWorkspace
	case k == "":
		return errNoKey
	}
	return nil
}
