package engine

import "time"

// The constants of this file describe an engine on four accelerators that serves a model of medium size. The design's
// peak of 450,000 generated tokens a second on 600 engines is 750 tokens a second on each.
const (
	// decodeBase is the time of a step without any work: the weights are read once for each step, whatever the batch
	// holds.
	decodeBase = 16 * time.Millisecond
	// decodePerSequence is the time that each sequence adds to a step. A batch of 24 takes 26 ms a step, which is 920
	// tokens a second and leaves room below the design's 52 ms between tokens.
	decodePerSequence = 400 * time.Microsecond
	// prefillPerToken is the time that each prompt token outside the prefix cache adds: 20,000 tokens a second, so that
	// 8,000 new tokens fit into the design's 0.64 s to the first token.
	prefillPerToken = 50 * time.Microsecond
	// prefillChunk is the number of prompt tokens in one step: a prefill of 1,024 tokens delays the other sequences
	// of the batch by 51 ms, about the design's limit between tokens.
	prefillChunk = 1024
	// transferPerToken is the time of exporting or importing a token's KV cache: 160 KB a token at 10 GB/s.
	transferPerToken = 16 * time.Microsecond
	// loadTime is the time of loading a model, an adapter or a version: 60 GB at 10 GB/s.
	loadTime = 6 * time.Second

	// DefaultSlots is the number of sequences in the batch; the memory for activations and outputs limits it.
	DefaultSlots = 32
	// DefaultCacheTokens is the size of the prefix cache: 160 GB at 160 KB a token. The design has 120 programs in
	// progress for each engine, of up to 210,000 tokens, so that the cache holds a part of them.
	DefaultCacheTokens = 1_000_000
	// defaultMaxTokens is the length of an answer whose request has no max_tokens.
	defaultMaxTokens = 16

	// bytesPerToken is the usual average for English text.
	bytesPerToken = 4

	// loadInterval is the age that a load report reaches before the next one replaces it.
	loadInterval = 200 * time.Millisecond
	// eventDelay is how late cache events become visible.
	eventDelay = 300 * time.Millisecond
	// maxCacheEvents bounds the cache events that are kept: some seconds at the design's peak.
	maxCacheEvents = 4096
	// streamRetention is how long a finished answer can be resumed.
	streamRetention = time.Minute
	// maxRuns bounds the runs that GET /runs lists; the oldest are dropped.
	maxRuns = 50_000

	// wakeInterval bounds how often the batch loop wakes: with a high speed, several steps are done in one wake.
	wakeInterval = time.Millisecond
	// maxCatchUp is the backlog of steps after a pause of the process that is made up; more is skipped.
	maxCatchUp = 50 * time.Millisecond
)
