package journal

// Code says why records were not appended, or why it is not known whether the fold accepted them.
type Code string

const (
	// CodeFull: the writer's queue is full.
	CodeFull Code = "queueFull"
	// CodeTooLarge: the records do not fit in one entry.
	CodeTooLarge Code = "tooLarge"
	// CodeCanceled: the caller's context ended.
	CodeCanceled Code = "canceled"
	// CodeStopped: the journal has stopped.
	CodeStopped Code = "stopped"
	// CodeOutcomeUnknown: the records are in the stream, but the log truncated them before the reader had read them. The
	// reader restored a snapshot that covers them, which does not say which records were rejected.
	CodeOutcomeUnknown Code = "verdictUnknown"
)

// Error is an error of Append, Submit, CaughtUp or WriteSnapshot other than the rejection of a record.
type Error struct {
	Code  Code
	cause error
	sent  bool
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return "journal: " + string(e.Code) + ": " + e.cause.Error()
	}
	return "journal: " + string(e.Code)
}

// Unwrap returns the cause, such as the context's error.
func (e *Error) Unwrap() error { return e.cause }

// Sent reports whether the records may be in the stream or arrive there later.
func (e *Error) Sent() bool { return e.sent }
