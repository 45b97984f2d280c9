package slope

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// A turn of the largest program has 913 tokens, since the program has 210,000 tokens in 230 turns. Of these, 300 tokens are
// generated: 450,000 generated tokens a second in 1,500 requests a second. A token has 4 bytes. A turn record holds the
// generated text twice, in its messages and in its response.
const (
	largestTurns   = 230
	bytesPerToken  = 4
	promptBytes    = 613 * bytesPerToken
	generatedBytes = 300 * bytesPerToken
	writer         = ids.WriterID("entry-001#0123456789ab")
	baseMillis     = 1_700_000_000_000
)

// stream is a stream of the log with its folded state. Its entries are encoded and decoded as in the log.
type stream struct {
	replay *replay.Replay
	next   ids.Offset
}

// newStream returns an empty stream whose records are folded by f.
func newStream(f replay.Fold) *stream { return &stream{replay: replay.New(f)} }

// encodeEntry returns the encoded batch of the records, as the next one of the writer.
func (s *stream) encodeEntry(bodies ...record.Body) []byte {
	b := record.Batch{Writer: writer, Seq: int64(s.next) + 1}
	for _, body := range bodies {
		r, err := record.New(body)
		must(err)
		b.Records = append(b.Records, r)
	}
	data, err := b.Encode()
	must(err)
	return data
}

// fold folds an encoded entry into the state.
func (s *stream) fold(data []byte) {
	res := s.replay.ApplyEntry(s.next, data)
	if res.Kind != replay.Applied {
		panic(fmt.Sprintf("entry at offset %d: replay kind %d, error %v", s.next, res.Kind, res.Err))
	}
	for _, err := range res.RecordErrors {
		must(err)
	}
	s.next++
}

// appendEntry encodes the records as one entry and folds it.
func (s *stream) appendEntry(bodies ...record.Body) { s.fold(s.encodeEntry(bodies...)) }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newSlotStream returns the stream of a slot that the writer has opened.
func newSlotStream() *stream {
	s := newStream(program.New(program.Options{}))
	s.appendEntry(&record.Open{Epoch: 1, Owner: writer, UnixMilli: baseMillis})
	return s
}

// message returns a message whose content has the given number of bytes.
func message(role string, bytes int) record.Message {
	content, err := json.Marshal(strings.Repeat("w", bytes))
	must(err)
	return record.Message{Role: role, Content: content}
}

// turnRecord returns the record of a turn of program number p, whose prompt and answer have the given numbers of bytes.
func turnRecord(p, index, prompt, answer int) *record.Turn {
	response, err := json.Marshal(strings.Repeat("w", answer))
	must(err)
	return &record.Turn{
		Epoch: 1, Workspace: ids.WorkspaceID(fmt.Sprintf("workspace-%04d", p%3200)), Program: ids.ProgramID(fmt.Sprintf("program-%08d", p)),
		Index: index, Key: ids.RequestKey(fmt.Sprintf("program-%08d-turn-%03d", p, index)), Fingerprint: "0123456789abcdef0123456789abcdef",
		Messages: []record.Message{message("user", prompt), message("assistant", answer)},
		Usage:    record.Usage{Prompt: 600, Completion: 300}, Response: response, UnixMilli: baseMillis,
	}
}

const (
	templateDocument = `{"models":[{"model":"m","pool":"p","maxInFlight":8,"defaultMaxTokens":256}],"program":{"maxTurns":230,"idleTimeout":"15m","defaultDeadline":"1m"}}`
	templates        = 24
)

// publishRecord returns the record that publishes workspace number i with two keys.
func publishRecord(i int, base ids.Revision) *record.Publish {
	var keys []string
	for k := range 2 {
		keys = append(keys, fmt.Sprintf(`{"label":"key-%d","sha256":"%s"}`, k, config.HashKey(keyOf(i, k))))
	}
	return &record.Publish{
		Object: fmt.Sprintf("workspace/workspace-%04d", i), Base: base,
		Document: json.RawMessage(fmt.Sprintf(`{"templates":["template-%02d"],"keys":[%s],"rate":10,"burst":20,"budget":400000,"weight":1}`,
			i%templates, strings.Join(keys, ","))),
	}
}

func keyOf(workspace, k int) string { return fmt.Sprintf("key-%04d-%d", workspace, k) }

// newConfigStream returns the configuration stream with all templates and the given number of workspaces, and the catalog
// that it is folded into.
func newConfigStream(workspaces int) (s *stream, catalog *config.Catalog) {
	catalog = config.New()
	s = newStream(catalog)
	for i := range templates {
		s.appendEntry(&record.Publish{Object: fmt.Sprintf("template/template-%02d", i), Base: ids.NoRevision, Document: json.RawMessage(templateDocument)})
	}
	for i := range workspaces {
		s.appendEntry(publishRecord(i, ids.NoRevision))
	}
	return s, catalog
}
