package journal

// Code tells why records were not appended, or why their verdicts are not known.
type Code string

const (
	// CodeFull: the queue before the writer is full.
	CodeFull Code = "queueFull"
	// CodeTooLarge: the records do not fit in one entry.
	CodeTooLarge Code = "tooLarge"
	// CodeCanceled: the caller's context ended.
	CodeCanceled Code = "canceled"
	// CodeStopped: the journal has stopped.
	CodeStopped Code = "stopped"
	// CodeOutcomeUnknown: the records are in the stream, but the reader was overtaken by retention and restored a
	// snapshot that covers them, which holds no verdicts.
	CodeOutcomeUnknown Code = "verdictUnknown"
)

// Error is the error of Append, Submit, CaughtUp and WriteSnapshot that is not a verdict.
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
