package engine

import (
	"bytes"
	"strings"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// crashExitCode is the exit status of a process that the CrashOn fault ends.
const crashExitCode = 70

// Faults are the faults that can be set. The zero value means no faults.
type Faults struct {
	// CrashOn ends the process when it receives a chat request whose body contains this text.
	CrashOn string `json:"crashOn"`
	// Hang blocks chat requests before they run, until the faults change.
	Hang bool `json:"hang"`
	// DelayMs delays the answer of a chat request after its generation has started.
	DelayMs int64 `json:"delayMs"`
	// CutAfter closes the connection of a new stream after this many events. The generation continues.
	CutAfter int `json:"cutAfter"`
	// FailNext answers 500 to this many chat requests without running them.
	FailNext int `json:"failNext"`
	// Crossed answers a chat request with the answer to the one before it.
	Crossed bool `json:"crossed"`
	// AnswerBytes adds this many bytes of padding to the first token of each answer.
	AnswerBytes int `json:"answerBytes"`
	// CacheEventDelayMs is added to costs.EventDelay.
	CacheEventDelayMs int64 `json:"cacheEventDelayMs"`
	// DropCacheEvents leaves out the cache events whose number is a multiple of this. 0 leaves out none.
	DropCacheEvents int64 `json:"dropCacheEvents"`
}

// applyFaults applies the faults that precede a run. It reports whether the request is still to run.
func (e *Engine) applyFaults(ctx *fasthttp.RequestCtx, f Faults) bool {
	switch {
	case f.CrashOn != "" && bytes.Contains(ctx.PostBody(), []byte(f.CrashOn)):
		e.options.Exit(crashExitCode)
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

// countDown counts a chat request against FailNext.
func countDown(f *Faults) {
	if f.FailNext > 0 {
		f.FailNext--
	}
}

// padding returns the text that the AnswerBytes fault adds to an answer.
func (e *Engine) padding() string {
	return strings.Repeat("x", e.faults.Get().AnswerBytes)
}
