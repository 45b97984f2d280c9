package chat

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/peer"
)

// statuses maps refusal codes to HTTP statuses.
var statuses = map[peer.Code]int{
	peer.CodeBadRequest:       fasthttp.StatusBadRequest,
	peer.CodeBodyTooLarge:     fasthttp.StatusRequestEntityTooLarge,
	peer.CodeUnknownRoute:     fasthttp.StatusNotFound,
	peer.CodeUnknownModel:     fasthttp.StatusNotFound,
	peer.CodeUnauthorized:     fasthttp.StatusUnauthorized,
	peer.CodeDeadline:         fasthttp.StatusGatewayTimeout,
	peer.CodeBudget:           fasthttp.StatusForbidden,
	peer.CodeTurnLimit:        fasthttp.StatusForbidden,
	peer.CodeRate:             fasthttp.StatusTooManyRequests,
	peer.CodeKeyReused:        fasthttp.StatusUnprocessableEntity,
	peer.CodeUndecided:        fasthttp.StatusConflict,
	peer.CodeLogUnavailable:   fasthttp.StatusServiceUnavailable,
	peer.CodeOwnerUnavailable: fasthttp.StatusServiceUnavailable,
	peer.CodeOverloaded:       fasthttp.StatusServiceUnavailable,
	peer.CodeNoTarget:         fasthttp.StatusServiceUnavailable,
	peer.CodeTargetFailed:     fasthttp.StatusBadGateway,
	peer.CodeQuarantined:      fasthttp.StatusUnprocessableEntity,
	peer.CodeStale:            fasthttp.StatusServiceUnavailable,
	peer.CodeStopping:         fasthttp.StatusServiceUnavailable,
	peer.CodeAnswerTooLarge:   fasthttp.StatusBadGateway,
}

type errorBody struct {
	Error *peer.Refusal `json:"error"`
}

func writeRefusal(ctx *fasthttp.RequestCtx, r *peer.Refusal) {
	status, ok := statuses[r.Code]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	if r.RetryAfterMillis > 0 {
		seconds := (time.Duration(r.RetryAfterMillis)*time.Millisecond + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	if r.Code == peer.CodeUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	writeJSON(ctx, errorBody{r})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error("encode the answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func newRefusal(code peer.Code, run peer.RunState, message string) *peer.Refusal {
	return &peer.Refusal{Code: code, Run: run, Message: message}
}

const (
	// drainIdle is the time without data after which the caller is assumed to have sent its whole body.
	drainIdle = 200 * time.Millisecond
	// drainTimeout and drainBytes limit how long and how much drainBody reads.
	drainTimeout = 2 * time.Second
	drainBytes   = 64 << 20
)

// drainBody reads the rest of the body of a refused request. Closing a connection with unread bytes resets it, and the
// caller would lose the refusal.
func drainBody(conn net.Conn) {
	buf := make([]byte, 64<<10)
	deadline := time.Now().Add(drainTimeout)
	for remaining := drainBytes; remaining > 0 && time.Now().Before(deadline); {
		if conn.SetReadDeadline(time.Now().Add(drainIdle)) != nil {
			return
		}
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		remaining -= n
	}
}
