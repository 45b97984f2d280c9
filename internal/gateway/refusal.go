package gateway

import (
	"encoding/json"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

type wireRefusal struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Code         Code     `json:"code"`
	RunState     RunState `json:"run"`
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
	RequestID    call.ID  `json:"requestId,omitempty"`
}

func refusalBody(r *refusal, run RunState, id call.ID) []byte {
	// Marshal cannot fail: every field of the type can be encoded.
	data, _ := json.Marshal(wireRefusal{wireError{Code: r.code, RunState: run, RetryAfterMs: ids.Millis(r.retry), RequestID: id}})
	return append(data, '\n')
}
