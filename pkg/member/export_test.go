package member

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// EncodeDigest and DecodeDigest expose the digest encoding to tests.
func EncodeDigest(l []ids.InstanceID, age func(ids.InstanceID) time.Duration) []byte {
	s := segmentsOf(l)
	return encodeDigest(&s, age)
}

func DecodeDigest(l []ids.InstanceID, b []byte, f func(ids.InstanceID, time.Duration)) {
	s := segmentsOf(l)
	decodeDigest(&s, b, f)
}
