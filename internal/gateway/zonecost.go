package gateway

import (
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/zonecost"
)

const (
	// bytesPerToken and bytesPerEvent estimate the size of a stream: the text of a token, and what surrounds each event.
	bytesPerToken = 4
	bytesPerEvent = 48
	// answerBytes estimates the size of an answer that is not a stream.
	answerBytes = 1024
	// ownZone is the reason of requests that do not leave the zone, in metrics.
	ownZone = "own"
)

// expectedBytes estimates how many bytes the request and its answer have.
func (e *exchange) expectedBytes() int {
	if e.req.MaxOutput <= 0 {
		return len(e.body) + answerBytes
	}
	perEvent := max(e.tokensPerEvent(), 1)
	return len(e.body) + int(e.req.MaxOutput*bytesPerToken+e.req.MaxOutput/perEvent*bytesPerEvent)
}

// countZone counts a request that is sent to the zone of its target.
func (e *exchange) countZone(p waitqueue.Placement) {
	reason := string(p.ZoneReason)
	if p.ZoneReason == zonecost.OwnZone {
		reason = ownZone
	}
	e.Metrics.ZoneSent(string(p.Target.Zone), reason, p.ZoneCost)
}

// logZoneShare returns a function that logs a change of the share of requests that may leave the zone.
func logZoneShare(l *zap.Logger) func(service call.ServiceName, c dispatch.ZoneChange) {
	return func(service call.ServiceName, c dispatch.ZoneChange) {
		events.Log(l, events.ZoneShareChanged, zap.String("service", string(service)), zap.Float64("share", c.Share),
			zap.Float64("free", c.Own.Free), zap.Float64("slots", c.Own.Slots), zap.Float64("callSeconds", c.Own.Seconds),
			zap.Float64("othersFree", c.Others.Free), zap.Float64("othersSlots", c.Others.Slots),
			zap.Float64("othersCallSeconds", c.Others.Seconds), zap.Float64("cost", c.Cost))
	}
}
