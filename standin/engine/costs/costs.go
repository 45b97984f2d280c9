// Package costs holds every constant of the engine stand-in: the durations of its work, which its speed scales, and its
// limits.
package costs

import "time"

// These constants describe an engine on four accelerators that serves a model of medium size. The design's
// peak of 450,000 generated tokens a second on 600 engines is 750 tokens a second on each.
const (
	// DecodeBase is the time of a step without any work: the weights are read once for each step, whatever the batch
	// holds.
	DecodeBase = 16 * time.Millisecond
	// DecodePerSequence is the time that each sequence adds to a step. A batch of 24 takes 26 ms a step, which is 920
	// tokens a second and leaves room below the design's 52 ms between tokens.
	DecodePerSequence = 400 * time.Microsecond
	// PrefillPerToken is the time that each prompt token outside the prefix cache adds: 20,000 tokens a second, so that
	// 8,000 new tokens fit into the design's 0.64 s to the first token.
	PrefillPerToken = 50 * time.Microsecond
	// PrefillChunk is the number of prompt tokens in one step: a prefill of 1,024 tokens delays the other sequences
	// of the batch by 51 ms, about the design's limit between tokens.
	PrefillChunk = 1024
	// TransferPerToken is the time of exporting or importing a token's KV cache: 160 KB a token at 10 GB/s.
	TransferPerToken = 16 * time.Microsecond
	// LoadTime is the time of loading a model, an adapter or a version: 60 GB at 10 GB/s.
	LoadTime = 6 * time.Second

	// Slots is the number of sequences in the batch; the memory for activations and outputs limits it.
	Slots = 32
	// CacheTokens is the size of the prefix cache: 160 GB at 160 KB a token. The design has 120 programs in
	// progress for each engine, of up to 210,000 tokens, so that the cache holds a part of them.
	CacheTokens = 1_000_000
	// MaxTokens is the length of an answer whose request has no max_tokens.
	MaxTokens = 16

	// BytesPerToken is the usual average for English text.
	BytesPerToken = 4

	// LoadInterval is the age that a load report reaches before the next one replaces it.
	LoadInterval = 200 * time.Millisecond
	// EventDelay is how late cache events become visible.
	EventDelay = 300 * time.Millisecond
	// MaxCacheEvents bounds the cache events that are kept: some seconds at the design's peak.
	MaxCacheEvents = 4096
	// StreamRetention is how long a finished answer can be resumed.
	StreamRetention = time.Minute
	// MaxRuns bounds the runs that GET /runs lists; the oldest are dropped.
	MaxRuns = 50_000

	// WakeInterval bounds how often the batch loop wakes: with a high speed, several steps are done in one wake.
	WakeInterval = time.Millisecond
	// MaxCatchUp is the backlog of steps after a pause of the process that is made up; more is skipped.
	MaxCatchUp = 50 * time.Millisecond
)
