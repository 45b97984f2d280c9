package partlog

import "time"

// Outcome is how a call to the log ended, in metrics and log events.
type Outcome string

// Outcomes of calls.
const (
	// Answered: the log accepted the call, or answered it with a conflict or the like.
	Answered Outcome = "answered"
	// Throttled: the log refused the call because there were too many.
	Throttled Outcome = "throttled"
	// Refused: the log answered that it is unavailable.
	Refused Outcome = "refused"
	// Unanswered: the call was sent, and its caller gave it up or the connection was lost before the whole answer was read.
	Unanswered Outcome = "unanswered"
	// NotSent: there was no connection to the log.
	NotSent Outcome = "notSent"
)

// Call describes a call to the log that has ended.
type Call struct {
	// Name is the name of the call in the log's interface.
	Name  string
	Topic string
	// Took includes the time for which a read asked the log to wait.
	Took time.Duration
	// Sent and Received count the bytes of the request's body and of what was read of the answer's body.
	Sent, Received int
	Outcome        Outcome
}
