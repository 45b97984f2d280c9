package targethttp

import (
	"fmt"
	"time"
)

// Kind classifies the failure of an exchange.
type Kind int

// Kinds of failures.
const (
	// NotConnected means that no connection could be made.
	NotConnected Kind = iota + 1
	// Leaving means that the target answered 503 with "Connection: close": it takes no new work and did not run the
	// request, although Sent is true.
	Leaving
	// Timeout means that the context's deadline passed, possibly before anything was sent.
	Timeout
	// Aborted means that the context was cancelled or that the reader of a stream returned an error.
	Aborted
	// Cut means that the connection broke before the answer was complete.
	Cut
	// BadStatus means that the target answered with a status that the adapter does not accept.
	BadStatus
	// TooLarge means that the answer exceeded its limit.
	TooLarge
	// Malformed means that the answer does not follow the protocol or belongs to another request.
	Malformed
	// Invalid means that the request cannot be encoded or sent. It says nothing about the target.
	Invalid
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case NotConnected:
		return "refused"
	case Leaving:
		return "leaving"
	case Timeout:
		return "timeout"
	case Aborted:
		return "aborted"
	case Cut:
		return "cut"
	case BadStatus:
		return "badStatus"
	case TooLarge:
		return "tooLarge"
	case Malformed:
		return "malformed"
	case Invalid:
		return "invalid"
	default:
		return fmt.Sprintf("kind %d", int(k))
	}
}

// Error is the error of every exchange with a target.
type Error struct {
	Kind    Kind
	Address string
	// Status is the HTTP status of the answer; 0 if none was received.
	Status int
	// RetryAfter is the retry delay that the target asked for; 0 if it asked for none.
	RetryAfter time.Duration
	// Body is the start of the answer's body for the kinds Leaving and BadStatus.
	Body []byte
	// Err is the cause; nil if there is none besides the kind.
	Err error

	sent bool
}

// InvalidRequest returns the error for a request that cannot be encoded.
func InvalidRequest(address string, err error) *Error {
	return &Error{Kind: Invalid, Address: address, Err: err}
}

// Sent reports whether the request may have reached the target. It is true once the first byte was written.
func (e *Error) Sent() bool { return e.sent }

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("target %s: %s", e.Address, e.Kind)
	if e.Status != 0 {
		s += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
