package logcache

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

// Directory is a keyed partition of the log that holds the readers of each zone, for new runs. After a loss of all instances nobody
// knows another one, and each would have to read what it follows from the log to learn who could read it for all.
type Directory struct {
	Partition partlog.Partition
	// Encode encodes a record of the partition.
	Encode func(key string, value []byte) []byte
}

const (
	// publishInterval is the time between two checks whether the record of the zone is up to date, and publishAge how long after the
	// last one it is written again, since other instances may have replaced it.
	publishInterval = 2 * time.Second
	publishAge      = 30 * time.Second
	// rereadInterval is the time between two reads of the directory while the others are not known.
	rereadInterval = time.Second
	// directoryTimeout and directoryPause are the time-out and the longest pause of the first reads of the directory.
	directoryTimeout = time.Second
	directoryPause   = 100 * time.Millisecond
	// readersOrder is the name by which the readers of a zone are ordered.
	readersOrder = "readers"
)

// zoneRecord is the record of a zone in the directory.
type zoneRecord struct {
	// Instances is the number of instances of all zones.
	Instances int `json:"instances"`
	// Readers is empty if the zone is too small.
	Readers []wireReader `json:"readers,omitempty"`
}

type wireReader struct {
	Instance ids.InstanceID `json:"instance"`
	Address  string         `json:"address"`
}

// directory is what a run has read of the directory at its start.
type directory struct {
	loaded chan struct{} // closed once the directory was read, or is not needed any more
	// zones and instances are guarded by Log.mu.
	zones     map[ids.Zone][]leader.Member
	instances int
}

// readDirectory reads the directory until that succeeds, or until the others are known without it. If the log answers reads of another
// partition only, the run goes on without the directory.
func (l *Log) readDirectory(ctx context.Context) {
	defer close(l.directory.loaded)
	reads := partlog.Backoff{Timeout: directoryTimeout, Pause: directoryPause}
	for ctx.Err() == nil && !l.Discovered() {
		err := l.readDirectoryOnce(ctx, reads.Next())
		if err == nil {
			return
		}
		readCtx, cancel := context.WithTimeout(ctx, reads.Next())
		_, endErr := partlog.End(readCtx, l.Log, l.Discovery)
		cancel()
		if endErr == nil {
			return
		}
		select {
		case <-time.After(reads.Record(err)):
		case <-ctx.Done():
		}
	}
}

func (l *Log) readDirectoryOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entries, _, err := l.Log.Newest(ctx, l.Directory.Partition)
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.directory.apply(entries)
	}
	return err
}

// apply sets what the directory holds. Records that cannot be read are left out.
func (d *directory) apply(entries []partlog.Entry) {
	d.zones, d.instances = make(map[ids.Zone][]leader.Member), 0
	for _, e := range entries {
		var r zoneRecord
		if json.Unmarshal(e.Value, &r) != nil {
			continue
		}
		d.instances = max(d.instances, r.Instances)
		for _, reader := range r.Readers[:min(len(r.Readers), maxCandidates)] {
			zone := ids.Zone(e.Key)
			d.zones[zone] = append(d.zones[zone], leader.Member{Candidate: leader.Candidate{Instance: reader.Instance, Weight: 1}, Address: reader.Address, Zone: zone})
		}
	}
}

// readersOf returns the readers of a partition for a zone: those of the zone and then one of each other zone, which is asked only if
// none of the zone can be.
func (d *directory) readersOf(zone ids.Zone, p partlog.Partition) (readers []leader.Member) {
	readers = rotate(d.zones[zone], p)
	if len(readers) == 0 {
		return nil
	}
	for _, other := range slices.Sorted(maps.Keys(d.zones)) {
		if l := rotate(d.zones[other], p); other != zone && len(l) > 0 {
			readers = append(readers, l[0])
		}
	}
	return readers
}

// rotate returns the readers of a zone in the order in which they are asked for a partition. Each reads other partitions first.
func rotate(readers []leader.Member, p partlog.Partition) []leader.Member {
	if len(readers) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.Topic))
	n := int(h.Sum32()+uint32(p.Part)) % len(readers)
	return slices.Concat(readers[n:], readers[:n])
}

// Run reads the directory, again while the others are not known, and then keeps the record of this instance's zone up to date while this
// instance is the first of the zone's readers or the record names none that runs, until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	if l.Directory.Encode == nil {
		return nil
	}
	ctx = pacedlog.WithKind(ctx, logpace.Lease)
	l.readDirectory(ctx)
	var last string
	var lastAt time.Time
	reads := partlog.Backoff{Timeout: directoryTimeout, Pause: rereadInterval}
	for first := true; ctx.Err() == nil; first = false {
		interval := publishInterval
		if !l.Discovered() {
			interval = rereadInterval
			if !first {
				reads.Record(l.readDirectoryOnce(ctx, reads.Next())) // what was read before still counts
			}
		}
		if value := l.zoneRecord(); value != "" && (value != last || l.Now().Sub(lastAt) >= publishAge) {
			if err := l.publish(ctx, value); err != nil {
				events.Log(l.Logger, events.ReaderFailed, zap.String("stream", l.Directory.Partition.Topic), zap.Error(err))
			} else {
				last, lastAt = value, l.Now()
				l.mu.Lock()
				delete(l.directory.zones, l.Zone) // it is not outdated any more
				l.mu.Unlock()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return nil
}

func (l *Log) publish(ctx context.Context, value string) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	_, err := l.Log.Append(ctx, l.Directory.Partition, partlog.AnyOffset, l.Directory.Encode(string(l.Zone), []byte(value)))
	return err
}

// zoneRecord returns the record of this instance's zone, or none if another instance writes it.
func (l *Log) zoneRecord() string {
	if !l.Discovered() {
		return ""
	}
	members := l.Members()
	order := orderZone(members, l.Zone)
	if len(order) == 0 || order[0].Instance != l.Self && !l.outdated(members) {
		return ""
	}
	r := zoneRecord{Instances: len(members)}
	for _, m := range zoneReaders(members, l.Zone) {
		r.Readers = append(r.Readers, wireReader{m.Instance, m.Address})
	}
	data, _ := json.Marshal(r) // the type can be encoded
	return string(data)
}

// outdated reports whether the directory named readers of this instance's zone when it was read, and none of them runs.
func (l *Log) outdated(members []leader.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	readers := l.directory.zones[l.Zone]
	return len(readers) > 0 && !slices.ContainsFunc(readers, func(r leader.Member) bool {
		return slices.ContainsFunc(members, func(m leader.Member) bool { return m.Instance == r.Instance })
	})
}
