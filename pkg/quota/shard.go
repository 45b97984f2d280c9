package quota

import "github.com/comfreylink/comfreylink/pkg/ids"

const (
	// Parts is the largest number of equal parts into which a workspace's limit is divided. Different instances grant them, so
	// a workspace keeps most of its limit while one of them is not reachable.
	Parts = 4
	// groups is the number of groups into which workspaces are hashed. It bounds the number of claims.
	groups = 32
	// Shards is the number of shards.
	Shards = groups * Parts
)

// Shard is one part of the limits of all workspaces of a group. One instance at a time owns it and grants from it.
type Shard int

// ShardOf returns the shard that holds a part of a workspace's limit. Limits of one part are spread over all shards.
func ShardOf(ws ids.WorkspaceID, part int) Shard {
	slot := int(ids.SlotOfWorkspace(ws, Shards))
	return Shard(slot/Parts*Parts + (slot+part)%Parts)
}

func (s Shard) group() int { return int(s) / Parts }

func (s Shard) part() int { return int(s) % Parts }
