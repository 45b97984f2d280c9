package member

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// A digest states for each listed instance how long ago it stated that it has no contact with the log. It takes half a
// byte for each, so that 380 instances take 240 bytes. Sender and receiver put the instances in the same order. Their
// lists may differ, so the instances are divided by hash into segments, each with its length and a checksum of its ids;
// the receiver ignores a segment that differs from its own.
const (
	segments = 16
	// ageStep times ageUnknown is just above the 10 s for which a statement counts. A longer step would add more to the
	// age, which is rounded up at each instance that passes it on.
	ageStep    = 700 * time.Millisecond
	ageUnknown = 15
)

// segment holds instances in the order of a digest.
type segment struct {
	ids      []ids.InstanceID
	checksum uint16
}

func segmentsOf(listed []ids.InstanceID) (s [segments]segment) {
	for _, id := range listed {
		h := hash(id)
		g := &s[h%segments]
		g.ids = append(g.ids, id)
		g.checksum ^= uint16(h >> 32)
	}
	for i := range s {
		slices.Sort(s[i].ids)
	}
	return s
}

// encodeDigest encodes the ages that age returns; a negative age is unknown. Of a segment with more than 255 instances,
// only the first 255 are encoded.
func encodeDigest(s *[segments]segment, age func(ids.InstanceID) time.Duration) (b []byte) {
	for _, g := range s {
		l := g.ids[:min(len(g.ids), 255)]
		b = append(b, byte(len(l)), byte(g.checksum>>8), byte(g.checksum))
		for i, id := range l {
			a := byte(ageUnknown)
			if d := age(id); d >= 0 {
				a = byte(min((d+ageStep-1)/ageStep, ageUnknown))
			}
			if i%2 == 0 {
				b = append(b, a<<4|ageUnknown)
			} else {
				b[len(b)-1] = b[len(b)-1]&0xf0 | a
			}
		}
	}
	return b
}

// decodeDigest calls f for each known age. It stops where data is cut off.
func decodeDigest(s *[segments]segment, b []byte, f func(ids.InstanceID, time.Duration)) {
	for _, g := range s {
		if len(b) < 3 {
			return
		}
		count, checksum := int(b[0]), uint16(b[1])<<8|uint16(b[2])
		size := (count + 1) / 2
		if len(b) < 3+size {
			return
		}
		ages := b[3 : 3+size]
		b = b[3+size:]
		if count != min(len(g.ids), 255) || checksum != g.checksum {
			continue
		}
		for i, id := range g.ids[:count] {
			a := ages[i/2] >> 4
			if i%2 == 1 {
				a = ages[i/2] & 0xf
			}
			if a != ageUnknown {
				f(id, time.Duration(a)*ageStep)
			}
		}
	}
}
