package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Duration is a time.Duration that is encoded as a string in Go's format, such as "1m30s".
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Template describes one kind of program.
type Template struct {
	Name     string       `json:"-"`
	Revision ids.Revision `json:"-"`
	Models   []Model      `json:"models,omitempty"`
	Services []Service    `json:"services,omitempty"`
	Program  Program      `json:"program"`
}

// Model is a model pool that the programs of a template may use.
type Model struct {
	Model ids.ModelID `json:"model"`
	Pool  ids.PoolID  `json:"pool"`
	// MaxInFlight limits the concurrent calls at one target.
	MaxInFlight int `json:"maxInFlight"`
	// DefaultMaxTokens limits the generated tokens of a call that sets no limit.
	DefaultMaxTokens ids.Tokens `json:"defaultMaxTokens"`
}

// Service is a plain or tool service that the programs of a template may use.
type Service struct {
	Name string     `json:"name"`
	Pool ids.PoolID `json:"pool"`
	// IdempotentMethods are the HTTP methods whose requests may be sent more than once.
	IdempotentMethods []string `json:"repeatableMethods,omitempty"`
	// Public services accept requests without a key.
	Public bool `json:"public,omitempty"`
	// ChecksFencing is true if the targets refuse requests with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Deadline applies to requests that set none.
	Deadline Duration `json:"deadline"`
}

// Idempotent reports whether a request with the HTTP method may be sent more than once.
func (s Service) Idempotent(method string) bool { return slices.Contains(s.IdempotentMethods, method) }

// Program holds the limits of the programs of a template.
type Program struct {
	MaxTurns int `json:"maxTurns"`
	// IdleTimeout is how long after its last use a program ends.
	IdleTimeout Duration `json:"idleTimeout"`
	// DefaultDeadline applies to calls that set none.
	DefaultDeadline Duration `json:"defaultDeadline"`
}

// Workspace holds the parameters of one workspace.
type Workspace struct {
	ID       ids.WorkspaceID `json:"-"`
	Revision ids.Revision    `json:"-"`
	// Templates are the names of the templates that the workspace may use. If several have the same model or service,
	// the first one applies.
	Templates []string  `json:"templates"`
	Keys      []KeyInfo `json:"keys,omitempty"`
	Limits
}

// Limits holds the limits of a workspace.
type Limits struct {
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// Burst is in requests.
	Burst int `json:"burst"`
	// Budget is the number of tokens that one program may use.
	Budget ids.Tokens `json:"budget"`
	// Weight is the workspace's share of capacity relative to the weights of other workspaces.
	Weight int `json:"weight"`
}

// KeyInfo is the published form of a key. It holds the key's hash, not the key.
type KeyInfo struct {
	Label  string  `json:"label"`
	SHA256 KeyHash `json:"sha256"`
	// ExpiresAt is the time from which the key is invalid. A key with the zero time does not expire.
	ExpiresAt time.Time `json:"expiresAt,omitzero"`
}

// ObjectKind is the part of an object's name before the slash.
type ObjectKind string

// Kinds of objects.
const (
	TemplateKind  ObjectKind = "template"
	WorkspaceKind ObjectKind = "workspace"
)

// Object is the current state of a published object.
type Object struct {
	Name     string       `json:"name"`
	Revision ids.Revision `json:"revision"`
	// Document is the canonical JSON of the object. It is nil if the object was removed.
	Document json.RawMessage `json:"document"`
}

// ObjectName returns the name under which an object is published.
func ObjectName(k ObjectKind, name string) string { return string(k) + "/" + name }

// SplitObject returns the kind and the name of an object, or an *UnknownError.
func SplitObject(object string) (k ObjectKind, name string, err error) {
	kind, name, found := strings.Cut(object, "/")
	k = ObjectKind(kind)
	if !found || (k != TemplateKind && k != WorkspaceKind) {
		return "", "", &UnknownError{What: fmt.Sprintf("object %q: want template/NAME or workspace/NAME", object)}
	}
	return k, name, nil
}

// decode reads exactly one JSON value without unknown fields.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}
