// Package record defines the entries that comfreylink appends to the platform's log service. An entry is a batch of typed
// records in JSON with camel-case field names.
package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// MaxEntryBytes is the largest size of an entry; Decode rejects larger ones.
const MaxEntryBytes = 1 << 20

// ErrMalformed is wrapped by every error of Decode.
var ErrMalformed = errors.New("malformed log entry")

// Type names the kind of a record.
type Type string

// Types of records in the fleet stream.
const (
	TypeClaim          Type = "claim"
	TypeRelease        Type = "release"
	TypeSuspect        Type = "suspect"
	TypeAlive          Type = "alive"
	TypeSuspectRequest Type = "suspectRequest"
	TypeClearRequest   Type = "clearRequest"
)

// TypePublish occurs in the config stream.
const TypePublish Type = "publish"

// Types of records in a slot's stream.
const (
	TypeOpen    Type = "open"
	TypeTurn    Type = "turn"
	TypeIntent  Type = "intent"
	TypeCancel  Type = "cancel"
	TypeOutcome Type = "outcome"
	TypeReserve Type = "reserve"
	TypeSettle  Type = "settle"
	TypeEnd     Type = "end"
)

// TypeSnapshot occurs in every stream.
const TypeSnapshot Type = "snapshot"

// Body is the content of a record.
type Body interface {
	// Type returns the record's type.
	Type() Type
	// Validate returns an error if the body is invalid by itself, whatever the other records of the stream are.
	Validate() error
}

// Record is one record of a batch.
type Record struct {
	Type Type            `json:"type"`
	Body json.RawMessage `json:"body"`
}

// New encodes a body.
func New(b Body) (r Record, err error) {
	data, err := json.Marshal(b)
	if err != nil {
		return Record{}, fmt.Errorf("encode %s record: %w", b.Type(), err)
	}
	return Record{Type: b.Type(), Body: data}, nil
}

// Batch is the content of one entry of a stream.
type Batch struct {
	Writer ids.WriterID `json:"writer"`
	// Seq counts the batches of this writer in this stream, from 1.
	Seq     int64    `json:"seq"`
	Records []Record `json:"records"`
}

// Encode returns the entry's bytes.
func (b Batch) Encode() ([]byte, error) {
	return json.Marshal(b)
}

// Decode parses an entry. It leaves the records' bodies to Record.Open, so that an invalid record or one of unknown type
// does not affect the other records of the batch.
func Decode(data []byte) (b Batch, err error) {
	if len(data) > MaxEntryBytes {
		return Batch{}, fmt.Errorf("%w: %d bytes, at most %d", ErrMalformed, len(data), MaxEntryBytes)
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if b.Writer == "" {
		return Batch{}, fmt.Errorf("%w: no writer", ErrMalformed)
	}
	if b.Seq < 1 {
		return Batch{}, fmt.Errorf("%w: seq %d", ErrMalformed, b.Seq)
	}
	return b, nil
}

// Open parses and validates the body of a record.
func (r Record) Open() (b Body, err error) {
	b = newBody(r.Type)
	if b == nil {
		return nil, fmt.Errorf("%w: unknown record type %q", ErrMalformed, r.Type)
	}
	if err := json.Unmarshal(r.Body, b); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrMalformed, r.Type, err)
	}
	if err := b.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrMalformed, r.Type, err)
	}
	return b, nil
}

// newBody returns an empty body of a type, or nil if the type is unknown.
func newBody(t Type) Body {
	switch t {
	case TypeClaim:
		return &Claim{}
	case TypeRelease:
		return &Release{}
	case TypeSuspect:
		return &Suspect{}
	case TypeAlive:
		return &Alive{}
	case TypeSuspectRequest:
		return &SuspectRequest{}
	case TypeClearRequest:
		return &ClearRequest{}
	case TypePublish:
		return &Publish{}
	case TypeOpen:
		return &Open{}
	case TypeTurn:
		return &Turn{}
	case TypeIntent:
		return &Intent{}
	case TypeCancel:
		return &Cancel{}
	case TypeOutcome:
		return &Outcome{}
	case TypeReserve:
		return &Reserve{}
	case TypeSettle:
		return &Settle{}
	case TypeEnd:
		return &End{}
	case TypeSnapshot:
		return &Snapshot{}
	default:
		return nil
	}
}
