// Package call defines the gateway's requests, routes, services, workspaces and targets. The types are independent of the
// wire format of a platform.
package call

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ID identifies a request. A caller that repeats a request sends it with another ID.
type ID string

// ServiceName names a group of targets that run the same software.
type ServiceName string

// Kind says how often a route's requests may run and whether they are answered with a stream.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests may run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered with a stream of events. They may run again only if the route is Resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Unsafe:
		return "unsafe"
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Part is one section of a prompt. Targets cache it as a whole, together with all parts before it.
type Part struct {
	Key    string
	Tokens ids.Tokens
}

// Request holds what the header of a caller's request says.
type Request struct {
	ID     ID
	Method string
	Host   string
	// URI is the path with its query, as received.
	URI string
	// Path is the part of URI before the query.
	Path string
	// Key is the caller's API key; empty if there is none.
	Key string
	// WaitLimit is how long the caller waits for the answer; 0 if the header does not say.
	WaitLimit time.Duration
	// Program and Session identify the agent program and its sequence of turns. Both are empty outside of programs.
	Program ids.ProgramID
	Session string
	// ProgramTimeLeft is the time until the whole program should have ended; 0 if unknown.
	ProgramTimeLeft time.Duration
	// Budget is how many tokens all turns of the program may generate; 0 if there is no budget.
	Budget ids.Tokens
	// Prompt is the length of the prompt in tokens. MaxOutput is the largest number of tokens that the turn may generate.
	Prompt    ids.Tokens
	MaxOutput ids.Tokens
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Previous is the turn that this one continues; empty at the start of a chain.
	Previous ID
	// LastEvent is the id of the last event that the caller has received, if it resumes a stream.
	LastEvent string
}

// Route says how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a caller waits for its answer.
	Timeout time.Duration
	// Objective is the latency up to which an answer has its full value.
	Objective time.Duration
	// Priority is the route's rank; 0 is the highest.
	Priority int
	Backends []Backend
	// MaxAttempts bounds the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable allows a broken stream to continue at another target, after the last event that was passed on.
	Resumable bool
	// Remembered keeps the route's turns for Retention, so that later turns can continue them.
	Remembered bool
	Retention  time.Duration
	// Regions are the only regions in which the route's requests may run; empty for all.
	Regions []string
}

// Backend is a service that runs a share of a route's requests, in proportion to its Weight.
type Backend struct {
	Service ServiceName
	Weight  int
}

// Service describes a group of targets.
type Service struct {
	Name ServiceName
	// MaxConns is how many connections one target accepts from all callers together.
	MaxConns int
	// Engine is set if the targets generate tokens.
	Engine *Engine
	// ColdTime is how long a target is cold after its start, and ColdRate how many requests a second it can serve while it is
	// cold; 0 means that cold targets have no limit.
	ColdTime time.Duration
	ColdRate float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs in one batch.
	Slots int
	// CacheTokens is how many tokens of prompts and output an engine's memory holds.
	CacheTokens ids.Tokens
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent ids.Tokens
}

// Workspace is a tenant with its API keys and its rate limit across all instances.
type Workspace struct {
	ID       ids.WorkspaceID
	Keys     []string
	Priority int
	// Rate is in requests per second; 0 means no limit.
	Rate  float64
	Burst float64
	// Regions are the only regions in which the workspace's requests may run; empty for all.
	Regions []string
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	// Ignored describes the values that were left out because they are malformed or absurd.
	Ignored []string
}

// Target is a registered target.
type Target struct {
	ID      ids.TargetID
	Service ServiceName
	Address string
	Zone    ids.Zone
	// Slots is how many requests the target runs at once.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// Evacuated targets are in a zone that is evacuated. They get no new requests.
	Evacuated bool
	// Born is when the target started, in Unix milliseconds. Seq numbers the target's reports since then. Together they
	// order its reports.
	Born int64
	Seq  int64
	// ColdLeft is how long the target stays cold from the time of the report; 0 if it is not cold.
	ColdLeft time.Duration
}

// Newer reports whether t is a later report than o of the same target.
func (t Target) Newer(o Target) bool {
	if t.Born != o.Born {
		return t.Born > o.Born
	}
	return t.Seq > o.Seq
}

// Load is what a target reports of its own load. Known is false if the target reported none.
type Load struct {
	Known            bool
	Running, Waiting int
	Slots            int
	// WorkTime is how long work takes at the target at the moment, as a multiple of the usual time. It is 1 if the target
	// reports nothing else.
	WorkTime float64
}

// Answer is the head of a target's answer.
type Answer struct {
	Status int
	// ID is the request that the target says the answer belongs to.
	ID ID
	// Signed is true if the answer bears the target's signature.
	Signed bool
	// NotRun is the target's promise that it has not run the request and will not.
	NotRun bool
	// WrongTarget is true if another target has the address now.
	WrongTarget bool
	// Leaving is true if the target says that it is about to stop.
	Leaving bool
	Load    Load
	// ColdLeft is how long the target stays cold; 0 if it is not, and negative if what it says is malformed.
	ColdLeft time.Duration
}

// OutboundRequest is a request as it is sent to a target.
type OutboundRequest struct {
	Target ids.TargetID
	// Workspace is empty on public routes.
	Workspace ids.WorkspaceID
	// TimeLeft is how long the target may work on the request; 0 if there is no limit.
	TimeLeft time.Duration
	// LastEvent is the id of the event after which a stream continues; empty for a new stream.
	LastEvent string
	Body      []byte
}
