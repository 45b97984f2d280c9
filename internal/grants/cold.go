package grants

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ColdTimeout bounds the time for which a request waits for the decision whether it may be sent to a cold target. It is longer
// than the calls for one grant take together, because a call that is cut short counts as a failure of the called instance.
const ColdTimeout = 250 * time.Millisecond

// TakeCold takes a token for one request to a cold target, whose limit has the given name. It does not wait for a token of the
// future. The token must be used before Expires, or else be returned.
func (g *RateLimiter) TakeCold(ctx context.Context, name ids.WorkspaceID) Decision {
	return g.Take(ctx, name, 0, 0)
}
