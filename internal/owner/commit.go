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

// maxStoredAnswer keeps a turn's record, which holds the answer as message and as response, below the limit of an entry.
const maxStoredAnswer = 384 << 10

// commitTurn makes the turn durable; only then is the call complete.
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

// notDurable answers a call that ran and whose turn is not known to be in the log. A repetition with the key finds the
// turn, or runs again.
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

func contentText(m record.Message) string {
	var s string
	if json.Unmarshal(m.Content, &s) != nil {
		return ""
	}
	return s
}
