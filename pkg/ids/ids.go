// Package ids holds the named types for identifiers and units that the other packages share.
package ids

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// InstanceID names one instance of the daemon, as in its settings and in the platform's instance list.
	InstanceID string
	// WriterID names one run of an instance: its id, '#' and a nonce drawn at start.
	WriterID string
	// Zone names an availability zone.
	Zone string
	// WorkspaceID names a workspace.
	WorkspaceID string
	// ProgramID names a program within a workspace. A sub-agent's id is its parent's id, '/' and its own name.
	ProgramID string
	// RequestKey identifies a request within a workspace for at-most-once execution.
	RequestKey string
	// Fingerprint is a hash of a request's content.
	Fingerprint string
	// TargetID names a target.
	TargetID string
	// PoolID names a group of targets that serve the same model or service.
	PoolID string
	// ModelID names a model.
	ModelID string
	// Stream names a stream of the log service.
	Stream string
	// Offset is the position of an entry in a stream; the first entry has offset 0.
	Offset int64
	// Epoch is the number of an ownership period of a slot; the first one has epoch 1.
	Epoch int64
	// Slot is the number of a slot, from 0.
	Slot int
	// Revision is the offset of the publish record that set an object's current document, or NoRevision before the first publish.
	Revision int64
	// Tokens counts model tokens.
	Tokens int64
)

// NoRevision is the revision of an object that was never published.
const NoRevision Revision = -1

// Streams that every daemon reads.
const (
	ConfigStream Stream = "config"
	FleetStream  Stream = "fleet"
)

// Position is the place of a record in a stream: the offset of its entry and its index in the batch.
type Position struct {
	Offset Offset `json:"offset"`
	Index  int    `json:"index"`
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	if p.Offset != q.Offset {
		return p.Offset < q.Offset
	}
	return p.Index < q.Index
}

// Root returns the id of the program that p is a sub-agent of at any depth, or p itself if it is not a sub-agent.
func (p ProgramID) Root() ProgramID {
	root, _, _ := strings.Cut(string(p), "/")
	return ProgramID(root)
}

// SlotOf returns the slot of a program, shared by all its sub-agents, out of count slots.
func SlotOf(ws WorkspaceID, p ProgramID, count int) Slot {
	return hashSlot("program", string(ws), string(p.Root()), count)
}

// SlotOfKey returns the slot of a request that belongs to no program.
func SlotOfKey(ws WorkspaceID, key RequestKey, count int) Slot {
	return hashSlot("key", string(ws), string(key), count)
}

// SlotOfWorkspace returns the slot whose owner holds the workspace's token bucket.
func SlotOfWorkspace(ws WorkspaceID, count int) Slot {
	return hashSlot("workspace", string(ws), "", count)
}

// hashSlot hashes a name of a kind to one of count slots.
func hashSlot(kind, a, b string, count int) Slot {
	return Slot(xxhash.Sum64String(kind+"\x00"+a+"\x00"+b) % uint64(count))
}

// Rendezvous returns the score of a node for a key; the node with the highest score is preferred.
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
func Rendezvous(node, key string) uint64 {
	return xxhash.Sum64String(node + "\x00" + key)
}

// Millis returns d in whole milliseconds, rounded up, for fields that count milliseconds.
func Millis(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
