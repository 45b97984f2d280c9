package quota

import (
	"strconv"
	"strings"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// coldPrefix begins the names of the limits of cold targets. No workspace's name contains the byte 0.
const coldPrefix = "\x00cold/"

// ColdName returns the name of the limit of a run of a target while it is cold, in place of a workspace's. born is when the run
// started.
func ColdName(t ids.TargetID, born int64) ids.WorkspaceID {
	return ids.WorkspaceID(coldPrefix + string(t) + "/" + strconv.FormatInt(born, 10))
}

// IsCold reports whether a name is that of the limit of a cold target. Nothing is granted under such a name while its limit is not
// known here, whereas a workspace without a limit may send any number of requests.
func IsCold(name ids.WorkspaceID) bool { return strings.HasPrefix(string(name), coldPrefix) }

const (
	// coldMaxBurst is below 2 * minPartBurst, so that the limit has one part: a few requests at once are enough, since the
	// requests of all instances arrive one by one.
	coldMaxBurst = 4
	// coldBurstBase and coldBurstShare keep rate * 1.3 s + burst + 4 at most at perSecond * 1.5 + 5 for any rate.
	coldBurstBase  = 1
	coldBurstShare = 0.2
)

// ColdLimit returns the limit of a cold target that can serve perSecond requests a second. Together with the time for which a
// granted token may be used (0.3 s), all instances send it at most perSecond*1.3 + burst + 4 requests in a second, which is at most
// perSecond*1.5 + 5.
func ColdLimit(perSecond float64) Limit {
	return Limit{Rate: perSecond, Burst: min(coldBurstBase+coldBurstShare*perSecond, coldMaxBurst)}
}
