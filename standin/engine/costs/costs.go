// Package costs holds the constants of the engine stand-in: the durations of its work, which its speed divides, and its
// limits.
package costs

import "time"

// These constants describe an engine on four accelerators that serves a medium-sized model. The design's peak load is 450,000
// generated tokens a second on 600 engines, which is 750 tokens a second on each.
const (
	// DecodeBase is the fixed time of a step, in which the weights are read once regardless of the size of the batch.
	DecodeBase = 16 * time.Millisecond
	// DecodePerSequence is the time that each decoding sequence adds to a step. A batch of 24 takes 26 ms a step, which is
	// 920 tokens a second and well below the design's limit of 52 ms between tokens.
	DecodePerSequence = 400 * time.Microsecond
	// PrefillPerToken is the time that each uncached prompt token adds to a step. At 20,000 tokens a second, 8,000 new tokens
	// fit into the design's limit of 0.64 s to the first token.
	PrefillPerToken = 50 * time.Microsecond
	// PrefillChunk is the maximum number of prompt tokens in one step. A prefill of 1,024 tokens delays the other sequences
	// of the batch by 51 ms, which is about the design's limit between tokens.
	PrefillChunk = 1024
	// TransferPerToken is the time to export or import the KV cache of one token: 160 KB at 10 GB/s.
	TransferPerToken = 16 * time.Microsecond
	// LoadTime is the time to load a model, an adapter or a version: 60 GB at 10 GB/s.
	LoadTime = 6 * time.Second

	// Slots is the maximum number of sequences in the batch. It is limited by the memory for activations and outputs.
	Slots = 32
	// CacheTokens is the size of the prefix cache: 160 GB at 160 KB a token. The design has 120 programs of up to 210,000
	// tokens in progress per engine, so the cache holds only some of them.
	CacheTokens = 1_000_000
	// MaxTokens is the length of an answer, in tokens, if the request has no max_tokens.
	MaxTokens = 16

	// BytesPerToken is the size of a token. 4 bytes are the usual average for English text.
	BytesPerToken = 4

	// LoadInterval is the interval at which the load report is refreshed.
	LoadInterval = 200 * time.Millisecond
	// EventDelay is the time after which a cache event becomes visible to readers.
	EventDelay = 300 * time.Millisecond
	// MaxCacheEvents is the number of cache events that are kept, enough for some seconds at the design's peak load.
	MaxCacheEvents = 4096
	// StreamRetention is how long a finished answer can be resumed.
	StreamRetention = time.Minute
	// MaxRuns is the number of runs that GET /runs lists at most. The oldest are dropped.
	MaxRuns = 50_000

	// WakeInterval is the shortest time that the batch loop sleeps. At a high speed it runs several steps between two sleeps.
	WakeInterval = time.Millisecond
	// MaxCatchUp is the longest delay, for example after a pause of the process, that the batch loop makes up for by running
	// steps without sleeping. It makes up for none of a longer delay.
	MaxCatchUp = 50 * time.Millisecond
)
