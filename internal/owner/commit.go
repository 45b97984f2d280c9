package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/refusal"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

// maxStoredAnswer is the limit of a response in a turn's record. The record holds the answer twice, as message and as
// response, and must stay below the limit of a log entry.
const maxStoredAnswer = 384 << 10

// commitTurn appends the turn to the log. The call is complete only when the log has confirmed the turn.
func (o *Owner) commitTurn(ctx context.Context, r *slots.Run, run *chatRun, t *turn.Call, a engine.Answer, target ids.TargetID) (result peer.Result) {
	defer func() { result.Trace.Target = target }()
	c := run.call
	answer := &peer.ChatResult{Content: contentText(a.Message), Finish: a.FinishReason, Usage: a.Usage, Message: a.Message}
	response, err := json.Marshal(answer)
	if err == nil && len(response) > maxStoredAnswer {
		err = fmt.Errorf("an answer of %d bytes is above the limit of %d", len(response), maxStoredAnswer)
	}
	if err != nil {
		r.Locked(func() { t.Failed(true, err) })
		return refusal.Of(c, peer.CodeAnswerTooLarge, peer.Ran, "the target's answer cannot be kept: "+err.Error())
	}
	r.Locked(func() {
		t.Answered(append(c.Chat.Messages[:len(c.Chat.Messages):len(c.Chat.Messages)], a.Message), a.Usage, response)
	})
	rejection, err := r.Append(ctx, t.Turn())
	t.TurnDone(rejection, err)
	if err != nil || rejection != nil {
		return notDurable(r, ctx, c, rejection, err)
	}
	r.SetCountedTokens(programOf(c), len(run.messages)+1, a.Usage.Total())
	return peer.Result{Chat: answer, Trace: peer.Trace{Turn: run.turns + 1}}
}

// notDurable returns the result of a call that ran but whose turn is not known to be in the log. A repeated request
// with the same key finds the turn, or runs again.
func notDurable(r *slots.Run, ctx context.Context, c peer.Call, rejection, err error) peer.Result {
	if r.Lost() || rejection != nil {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.Epoch, MayHaveRun: true}}
	}
	result := refusal.Of(c, peer.CodeLogUnavailable, peer.Unknown, "the call ran, but the log did not confirm the turn; repeat the request with its key")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.Refusal.Message += fmt.Sprintf(" (%v)", err)
	}
	return refusal.WithRetryAfter(result, time.Second)
}

// contentText returns the content of a message if it is a string, and otherwise "".
func contentText(m record.Message) string {
	var s string
	if json.Unmarshal(m.Content, &s) != nil {
		return ""
	}
	return s
}
