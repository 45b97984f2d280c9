// Package zonecost decides when requests may leave the availability zone of their dispatcher, and what that costs.
//
// It handles a zone that is full or slow while others have room, seen by many dispatchers at once: each lets only a share of
// its requests leave, which grows and falls in steps, so that the neighboring zone is not flooded before its load reports
// show the new requests, and so that requests return once there is room at home.
package zonecost

import (
	"math"
	"time"
)

const (
	// stepInterval is the time between two steps of the share. Load reports show the effect of a step within it.
	stepInterval = 100 * time.Millisecond
	// firstShare is the share after the first step up. It is doubled by each further one.
	firstShare = 1.0 / 16
	// hysteresis is the part of the cost that must be regained before requests return.
	hysteresis = 0.5
	// fullMargin is the free share of a zone's slots below which the zone takes no requests of others.
	fullMargin = 0.1
	kib        = 1024
)

// Options are the settings of a Decider.
type Options struct {
	// Price is how much delay one KiB between zones is worth, in seconds. It may be infinite. If it is 0, requests may always
	// leave.
	Price float64
	// Delay is the latency of the hops between zones, in seconds.
	Delay float64
}

// State is what a dispatcher knows of one or several zones.
type State struct {
	// Targets is the number of targets that may get requests.
	Targets int
	// Free is how many more calls the targets can run at once, Slots how many they can run in total.
	Free, Slots float64
	// Seconds is the expected time of a typical call, including its wait for a target.
	Seconds float64
}

// Decider holds the share of requests that may leave the zone.
type Decider struct {
	opt     Options
	share   float64
	stepped time.Time
	own     State
	gain    float64 // seconds that a typical call is expected to be faster in the other zones, without the cost
}

// New returns a decider that lets no request leave. It is not safe for concurrent use.
func New(o Options) *Decider { return &Decider{opt: o, own: State{Targets: 1}} }

// Cost returns the cost in seconds of sending a request with its answer, of so many bytes together, to another zone. It is
// infinite if the price is.
func (d *Decider) Cost(bytes int) float64 {
	if d.opt.Price == 0 {
		return d.opt.Delay
	}
	return d.opt.Delay + d.opt.Price*max(float64(bytes), 1)/kib
}

// unrestricted reports whether all requests may leave the zone, because leaving has no price or the zone has no target.
func (d *Decider) unrestricted() bool { return d.opt.Price == 0 || d.own.Targets == 0 }

// Share returns the share of requests that may leave the zone.
func (d *Decider) Share() float64 {
	if d.unrestricted() {
		return 1
	}
	return d.share
}

// MayLeave reports whether a request of so many bytes with its answer may be sent to another zone. The parameter draw is a
// number from 0 to 1 that belongs to the request, so that a request that may leave still may when the share has grown.
func (d *Decider) MayLeave(draw float64, bytes int) bool {
	if draw >= d.Share() {
		return false
	}
	return d.unrestricted() || d.gain >= hysteresis*d.Cost(bytes)
}

// Reason says why a request is sent to a zone.
type Reason string

// Reasons for the zone to which a request is sent.
const (
	// OwnZone: the zone is the dispatcher's own.
	OwnZone Reason = ""
	// Unpriced: leaving the zone costs only the delay.
	Unpriced Reason = "unpriced"
	// Overflow: the own zone is slower by more than the cost.
	Overflow Reason = "overflow"
	// NoTarget: the own zone has no target.
	NoTarget Reason = "noTarget"
)

// Reason returns why a request is sent to another zone.
func (d *Decider) Reason() Reason {
	switch {
	case d.opt.Price == 0:
		return Unpriced
	case d.own.Targets == 0:
		return NoTarget
	default:
		return Overflow
	}
}

// EffectiveCost returns the cost that is applied to a request which is sent to another zone. It is that of Cost, but only the
// delay if the own zone has no target: then even an infinite price does not keep the request from being served.
func (d *Decider) EffectiveCost(bytes int) float64 {
	if d.own.Targets == 0 {
		return d.opt.Delay
	}
	return d.Cost(bytes)
}

// Due reports whether Update would consider a step.
func (d *Decider) Due(now time.Time) bool {
	return d.opt.Price > 0 && now.Sub(d.stepped) >= stepInterval
}

// Update applies the states of the own zone and of the other zones together, and the bytes of a typical request with its
// answer. It reports whether the share has changed. The share grows while a typical call is cheaper elsewhere in spite of the
// cost and the other zones have room, falls when it is not by a margin or they are full, and stays as it is in between.
func (d *Decider) Update(now time.Time, own, others State, bytes int) (changed bool) {
	if !d.Due(now) {
		return false
	}
	before := d.Share()
	d.stepped, d.own = now, own
	cost := d.Cost(bytes)
	d.gain = own.Seconds - others.Seconds
	switch {
	case others.Targets == 0 || math.IsInf(cost, 1) || others.Free < fullMargin*others.Slots || d.gain < hysteresis*cost:
		d.share /= 2
		if d.share < firstShare {
			d.share = 0
		}
	case d.gain > cost:
		d.share = min(max(2*d.share, firstShare), 1)
	}
	return d.Share() != before
}
