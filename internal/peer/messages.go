package peer

import (
	"encoding/json"
	"errors"

	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Method names a request between daemons.
type Method string

// Methods that a daemon answers.
const (
	// MethodCall runs a caller's request at the owner of its slot.
	MethodCall Method = "call"
	// MethodAcquire asks the owner of a workspace's slot for a rate token.
	MethodAcquire Method = "acquire"
	// MethodGranted reports whether a granted rate token was used.
	MethodGranted Method = "granted"
	// MethodPlace asks the dispatcher of a pool for a target.
	MethodPlace Method = "place"
	// MethodDone reports to the dispatcher that a placed request has ended.
	MethodDone Method = "done"
	// MethodLiveness asks the owner of a slot which programs exist.
	MethodLiveness Method = "lives"
	// MethodPing carries a member.Message. The result is the response message, if there is one.
	MethodPing Method = "ping"
	// MethodEntries asks for entries of the config stream.
	MethodEntries Method = "entries"

	methodChunk Method = "chunk"
)

// ErrUnknownMethod is the error of a request whose method the daemon does not know.
var ErrUnknownMethod = errors.New("unknown method")

// chunkMessage is one chunk of the answer to the request with the id Call.
type chunkMessage struct {
	Call string          `json:"call"`
	Data json.RawMessage `json:"data"`
}

// errorCode returns the jsonrpc2 code of an error that a handler returned.
func errorCode(error) int64 { return codeInternal }

// Kind is the kind of a call: a model call, a service request, or the end of a program.
type Kind string

// Kinds of calls.
const (
	KindChat    Kind = "chat"
	KindService Kind = "service"
	KindEnd     Kind = "end"
)

// Call is a caller's request, which the entry instance sends to the owner of its slot.
type Call struct {
	Kind      Kind            `json:"kind"`
	Workspace ids.WorkspaceID `json:"workspace"`
	// KeyHash is the hash of the caller's key, checked again before dispatch.
	KeyHash     string          `json:"keyHash,omitempty"`
	Program     ids.ProgramID   `json:"program,omitempty"`
	RequestKey  ids.RequestKey  `json:"requestKey"`
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	// DeadlineMillis is the time that is left until the deadline when the call is sent.
	DeadlineMillis int64        `json:"deadlineMillis"`
	Chat           *ChatCall    `json:"chat,omitempty"`
	Service        *ServiceCall `json:"service,omitempty"`
}

// ChatCall is a model call.
type ChatCall struct {
	Model     ids.ModelID      `json:"model"`
	Messages  []record.Message `json:"messages"`
	MaxTokens ids.Tokens       `json:"maxTokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
	// Extra holds the request's other fields, which the target receives unchanged.
	Extra json.RawMessage `json:"extra,omitempty"`
}

// ServiceCall is a call of a plain or tool service.
type ServiceCall struct {
	Name        string `json:"name"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Query       string `json:"query,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Accept      string `json:"accept,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Result is the result of a call. Exactly one of Refusal, Redirect, Chat and Service is set, or none if the call ended
// a program.
type Result struct {
	Refusal *Refusal `json:"refusal,omitempty"`
	// Redirect is set if the called instance does not own the slot, or no longer does.
	Redirect *Redirect      `json:"redirect,omitempty"`
	Chat     *ChatResult    `json:"chat,omitempty"`
	Service  *ServiceResult `json:"service,omitempty"`
	// Trace describes where the call ran.
	Trace Trace `json:"trace"`
}

// Redirect asks the entry instance to look up the slot's owner again, because another instance may own the slot.
type Redirect struct {
	Owner ids.WriterID `json:"owner,omitempty"`
	Epoch ids.Epoch    `json:"epoch"`
	// MayHaveRun says that the call may have run at the redirecting instance.
	MayHaveRun bool `json:"mayHaveRun,omitempty"`
}

// Trace describes where a call ran.
type Trace struct {
	Owner    ids.InstanceID `json:"owner,omitempty"`
	Target   ids.TargetID   `json:"target,omitempty"`
	Turn     int            `json:"turn,omitempty"`
	Replayed bool           `json:"replayed,omitempty"`
}

// ChatResult is the complete answer of a model call.
type ChatResult struct {
	Content string       `json:"content"`
	Finish  string       `json:"finish"`
	Usage   record.Usage `json:"usage"`
	// Message is the assistant's message as the engine returned it.
	Message record.Message `json:"message"`
}

// ServiceResult is the answer of a service.
type ServiceResult struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Chunk is a part of the text of a streamed answer.
type Chunk struct {
	Delta string `json:"delta"`
}

// RunState states whether a refused request ran.
type RunState string

// Run states.
const (
	NotRun  RunState = "notRun"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Code is the machine-readable reason of a refusal.
type Code string

// Refusal is the error that a caller receives for a call that did not complete.
type Refusal struct {
	Code             Code           `json:"code"`
	Message          string         `json:"message"`
	Run              RunState       `json:"run"`
	RetryAfterMillis int64          `json:"retryAfterMs,omitempty"`
	RequestKey       ids.RequestKey `json:"requestKey,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Codes of refusals.
const (
	CodeBadRequest       Code = "badRequest"
	CodeBodyTooLarge     Code = "bodyTooLarge"
	CodeUnknownRoute     Code = "unknownRoute"
	CodeUnknownModel     Code = "unknownModel"
	CodeUnauthorized     Code = "unauthorized"
	CodeDeadline         Code = "deadlineExceeded"
	CodeBudget           Code = "budgetExceeded"
	CodeTurnLimit        Code = "turnLimit"
	CodeRate             Code = "rateExceeded"
	CodeKeyReused        Code = "keyReused"
	CodeUndecided        Code = "outcomeUnknown"
	CodeLogUnavailable   Code = "logUnavailable"
	CodeOwnerUnavailable Code = "ownerUnavailable"
	CodeOverloaded       Code = "overloaded"
	CodeNoTarget         Code = "noTarget"
	CodeTargetFailed     Code = "targetFailed"
	CodeQuarantined      Code = "quarantined"
	CodeStale            Code = "stale"
	CodeStopping         Code = "stopping"
	CodeAnswerTooLarge   Code = "answerTooLarge"
)

// Acquire asks for one rate token.
type Acquire struct {
	Workspace      ids.WorkspaceID `json:"workspace"`
	DeadlineMillis int64           `json:"deadlineMillis"`
	// Ticket is the queue ticket from an earlier answer; 0 if there is none.
	Ticket uint64 `json:"ticket,omitempty"`
}

// Acquired is the answer to Acquire. If neither Granted nor Refused is set, the request waits in the queue.
type Acquired struct {
	// NotOwner says that the instance does not own the workspace's slot, or cannot confirm that it does.
	NotOwner bool      `json:"notOwner,omitempty"`
	Epoch    ids.Epoch `json:"epoch,omitempty"`
	Granted  bool      `json:"granted,omitempty"`
	Grant    uint64    `json:"grant,omitempty"`
	Refused  bool      `json:"refused,omitempty"`
	// WaitMillis is the time after which a waiting request asks again with the ticket, or after which a refused request
	// could succeed.
	WaitMillis int64  `json:"waitMillis,omitempty"`
	Ticket     uint64 `json:"ticket,omitempty"`
}

// GrantReport reports to the owner of a workspace's slot whether a granted rate token was used.
type GrantReport struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Epoch     ids.Epoch       `json:"epoch"`
	Grant     uint64          `json:"grant"`
	Used      bool            `json:"used"`
}

// Place asks the dispatcher of a pool for a target.
type Place struct {
	Pool           ids.PoolID    `json:"pool"`
	Item           dispatch.Item `json:"item"`
	DeadlineMillis int64         `json:"deadlineMillis"`
}

// Placed is the answer to Place.
type Placed struct {
	Refusal *Refusal        `json:"refusal,omitempty"`
	Target  ids.TargetID    `json:"target,omitempty"`
	Address string          `json:"address,omitempty"`
	Ticket  dispatch.Ticket `json:"ticket,omitempty"`
}

// Done reports to the dispatcher that a placed request has ended.
type Done struct {
	Pool    ids.PoolID       `json:"pool"`
	Ticket  dispatch.Ticket  `json:"ticket"`
	Outcome dispatch.Outcome `json:"outcome"`
	Usage   record.Usage     `json:"usage"`
}

// Entries asks for the entries of the config stream from an offset.
type Entries struct {
	From ids.Offset `json:"from"`
}

// EntryPage is the answer to Entries.
type EntryPage struct {
	// Missing says that the instance does not hold all the requested entries, or holds none.
	Missing bool `json:"missing,omitempty"`
	// Next is the offset that follows the entries.
	Next    ids.Offset `json:"next"`
	Entries []Entry    `json:"entries,omitempty"`
}

// Entry is one entry of a stream, with the same bytes as in the log.
type Entry struct {
	Offset ids.Offset `json:"offset"`
	Data   []byte     `json:"data"`
}

// QueryLiveness asks the owner of a slot which of its programs exist.
type QueryLiveness struct {
	Slot     ids.Slot        `json:"slot"`
	Programs []ProgramOfSlot `json:"programs"`
}

// ProgramOfSlot names a program of a slot.
type ProgramOfSlot struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
}

// LivenessResult is the answer to QueryLiveness.
type LivenessResult struct {
	// NotOwner says that the instance does not own the slot, or has not read its stream yet.
	NotOwner bool `json:"notOwner,omitempty"`
	// Alive has one element for each program of the query, in order.
	Alive []bool `json:"living,omitempty"`
}
