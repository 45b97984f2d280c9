package replay

import "github.com/comfreylink/comfreylink/pkg/ids"

// MaxWriters limits the writers of a stream whose last sequence number is kept. With 210 restarts a day it holds more than
// a month of them. The writer whose last batch is the oldest is evicted first, by every reader at the same offset.
const MaxWriters = 8192

// lastBatch is the last interpreted batch of a writer.
type lastBatch struct {
	Seq    int64      `json:"seq"`
	Offset ids.Offset `json:"offset"`
}

type writers map[ids.WriterID]lastBatch

// admit reports whether a batch is new, and if so records it as its writer's last one.
func (ws writers) admit(w ids.WriterID, seq int64, o ids.Offset) bool {
	last, known := ws[w]
	if seq <= last.Seq {
		return false
	}
	if !known && len(ws) >= MaxWriters {
		ws.evictOldest()
	}
	ws[w] = lastBatch{Seq: seq, Offset: o}
	return true
}

// evictOldest removes the writer whose last batch is the oldest.
func (ws writers) evictOldest() {
	var oldest ids.WriterID
	for w, last := range ws {
		if oldest == "" || last.Offset < ws[oldest].Offset {
			oldest = w
		}
	}
	delete(ws, oldest)
}
