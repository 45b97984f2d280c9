package logservice

import "fmt"

// Error is the error of a failed request to the log service.
type Error struct {
	// Status is the HTTP status of a response other than 200. It is 0 for any other failure.
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

// Sent reports whether the request may have been carried out. If it is true for a failed append, the entry may be in the
// stream or may be added later.
func (e *Error) Sent() bool { return e.sent }
