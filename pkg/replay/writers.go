package replay

import "github.com/comfreylink/comfreylink/pkg/ids"

// MaxWriters bounds the writers whose last sequence number is kept for a stream. With 210 restarts a day it holds more
// than a month of them; the one that was silent longest is forgotten first, at the same offset by every reader.
const MaxWriters = 8192

// lastBatch is the last interpreted batch of a writer.
type lastBatch struct {
	Seq    int64      `json:"seq"`
	Offset ids.Offset `json:"offset"`
}

type writers map[ids.WriterID]lastBatch

// admit reports whether a batch is new, and notes it.
func (ws writers) admit(w ids.WriterID, seq int64, o ids.Offset) bool {
	last, known := ws[w]
	if seq <= last.Seq {
		return false
	}
	if !known && len(ws) >= MaxWriters {
		ws.forgetOldest()
	}
	ws[w] = lastBatch{Seq: seq, Offset: o}
	return true
}

func (ws writers) forgetOldest() {
	var oldest ids.WriterID
	for w, last := range ws {
		if oldest == "" || last.Offset < ws[oldest].Offset {
			oldest = w
		}
	}
	delete(ws, oldest)
}
