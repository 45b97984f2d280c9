package logservice

import "fmt"

// Error is the error of every request to the log service.
type Error struct {
	// Status is the answer's HTTP status, or 0 if there was no answer.
	Status int
	cause  error
	sent   bool
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("log service answered %d: %v", e.Status, e.cause)
	}
	return fmt.Sprintf("log service: %v", e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Sent reports whether the request may have taken effect: after a failed append with Sent, the entry may be in the
// stream or arrive there later.
func (e *Error) Sent() bool { return e.sent }
