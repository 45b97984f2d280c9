package engine

import (
	"bytes"
	"strings"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// exitCode is the exit status of a crash by fault.
const exitCode = 70

// Faults are the faults that can be switched on.
type Faults struct {
	// CrashOn ends the process when it receives a chat request whose body contains this text.
	CrashOn string `json:"crashOn"`
	// Hang makes chat requests wait, without running, until the faults change.
	Hang bool `json:"hang"`
	// DelayMs delays the answer of a chat request, which already runs.
	DelayMs int64 `json:"delayMs"`
	// CutAfter closes the connection of a new stream after this many events; the generation goes on.
	CutAfter int `json:"cutAfter"`
	// FailNext answers 500 to this many chat requests without running them.
	FailNext int `json:"failNext"`
	// Crossed answers a chat request with the answer to the one before it.
	Crossed bool `json:"crossed"`
	// AnswerBytes pads the first token of each answer to about this size.
	AnswerBytes int `json:"answerBytes"`
	// CacheEventDelayMs is added to the usual delay of cache events.
	CacheEventDelayMs int64 `json:"cacheEventDelayMs"`
	// DropCacheEvents leaves out each cache event whose number is a multiple of this; 0 for none.
	DropCacheEvents int64 `json:"dropCacheEvents"`
}

// interfere applies the faults that come before a run. It reports whether the request still runs.
func (e *Engine) interfere(ctx *fasthttp.RequestCtx, f Faults) bool {
	switch {
	case f.CrashOn != "" && bytes.Contains(ctx.PostBody(), []byte(f.CrashOn)):
		e.options.Exit(exitCode)
		serve.CloseConnection(ctx)
		return false
	case f.FailNext > 0:
		serve.Fail(ctx, fasthttp.StatusInternalServerError, "failed by fault")
		return false
	case f.Hang:
		e.faults.Hang(e.batch.Done())
	}
	return true
}

func countDown(f *Faults) {
	if f.FailNext > 0 {
		f.FailNext--
	}
}

func (e *Engine) padding() string {
	return strings.Repeat("x", e.faults.Get().AnswerBytes)
}
