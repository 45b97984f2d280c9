// Package call holds what the gateway knows of a request, of the routes and workspaces that decide about it and of the
// targets that may run it. The types are independent of how a platform spells them.
package call

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ID identifies one attempt of a caller; a repetition has another one.
type ID string

// ServiceName names a group of targets that run the same program.
type ServiceName string

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests may run once at most.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests answer with a series of events.
	Stream
)

// Part is one part of a prompt, which targets cache as a whole together with the parts before it.
type Part struct {
	Key    string
	Tokens ids.Tokens
}

// Request is a caller's request as its header tells it.
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
	// WaitLimit is how long the caller waits for the answer; 0 if it does not say.
	WaitLimit time.Duration
	// Program and Session name the agent program and its line of turns; empty outside of programs.
	Program ids.ProgramID
	Session string
	// ProgramTimeLeft is the time left until the whole program should have ended; 0 if unknown.
	ProgramTimeLeft time.Duration
	// Budget is how many tokens all turns of the program may generate; 0 if there is no budget.
	Budget ids.Tokens
	// Prompt is the length of the prompt and MaxOutput the most tokens that the turn generates.
	Prompt    ids.Tokens
	MaxOutput ids.Tokens
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Previous is the turn that this one continues; empty at the start of a chain.
	Previous ID
	// LastEvent is the id of the last event that the caller has, if it resumes a stream.
	LastEvent string
}

// Route says how requests of one host and path prefix are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// Priority ranks the route; 0 goes first.
	Priority int
	Backends []Backend
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another target after the last event.
	Resumable bool
	// Remembered turns are kept for Retention and continued from.
	Remembered bool
	Retention  time.Duration
}

// Backend is a service that runs a route's requests, with its share of them.
type Backend struct {
	Service ServiceName
	Weight  int
}

// Service describes a group of targets.
type Service struct {
	Name ServiceName
	// MaxConns is how many connections one target accepts from all callers.
	MaxConns int
	// Engine is set if the targets generate tokens.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the size of the batch.
	Slots int
	// CacheTokens is the memory for prompts and generated tokens.
	CacheTokens ids.Tokens
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent ids.Tokens
}

// Workspace is a tenant with its keys and its limit across all daemons.
type Workspace struct {
	ID       ids.WorkspaceID
	Keys     []string
	Priority int
	// Rate is in requests a second; 0 means no limit.
	Rate  float64
	Burst float64
}

// Limits bound what a caller may send.
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
}

// Target is a registered target.
type Target struct {
	ID      ids.TargetID
	Service ServiceName
	Address string
	Zone    ids.Zone
	// Slots is how many requests run at once.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// Born is when the target started, in Unix milliseconds, and Seq counts what it has said since: together they
	// order its reports.
	Born int64
	Seq  int64
}

// Newer reports whether t was said after o by the same target.
func (t Target) Newer(o Target) bool {
	if t.Born != o.Born {
		return t.Born > o.Born
	}
	return t.Seq > o.Seq
}

// Load is what a target says of its own load.
type Load struct {
	Known            bool
	Running, Waiting int
	Slots            int
}

// Answer is the head of a target's answer.
type Answer struct {
	Status int
	// ID is the request that the target says it answers.
	ID ID
	// Signed tells that the target vouches for the answer.
	Signed bool
	// NotRun is the target's promise that it has not run the request and will not.
	NotRun bool
	// WrongTarget tells that another target has the address now.
	WrongTarget bool
	Load        Load
}

// OutboundRequest is a request as it goes to a target.
type OutboundRequest struct {
	Target ids.TargetID
	// Workspace is empty on public routes.
	Workspace ids.WorkspaceID
	// Left is how long the target may work on it; 0 if there is no limit.
	Left time.Duration
	// LastEvent is set if a stream goes on after an event.
	LastEvent string
	Body      []byte
}
