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

// A turn of the largest program: 210,000 tokens in 230 turns are 913 tokens a turn, of which 300 are generated (450,000
// generated tokens a second in 1,500 requests), at 4 bytes a token. The response repeats the generated text.
const (
	largestTurns   = 230
	bytesPerToken  = 4
	promptBytes    = 613 * bytesPerToken
	generatedBytes = 300 * bytesPerToken
	writer         = ids.WriterID("entry-001#0123456789ab")
	baseMillis     = 1_700_000_000_000
)

// stream is a stream as a reader has folded it from encoded entries.
type stream struct {
	replay *replay.Replay
	next   ids.Offset
}

func newStream(f replay.Fold) *stream { return &stream{replay: replay.New(f)} }

// entry encodes a batch with one record of the writer.
func (s *stream) entry(bodies ...record.Body) []byte {
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

// read folds an entry.
func (s *stream) read(data []byte) {
	res := s.replay.Entry(s.next, data)
	if res.Kind != replay.Applied {
		panic(fmt.Sprintf("entry %d: kind %d, %v", s.next, res.Kind, res.Err))
	}
	for _, v := range res.RecordErrors {
		must(v)
	}
	s.next++
}

func (s *stream) add(bodies ...record.Body) { s.read(s.entry(bodies...)) }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func openSlot() *stream {
	s := newStream(program.New(program.Options{}))
	s.add(&record.Open{Epoch: 1, Owner: writer, UnixMilli: baseMillis})
	return s
}

func message(role string, bytes int) record.Message {
	content, err := json.Marshal(strings.Repeat("w", bytes))
	must(err)
	return record.Message{Role: role, Content: content}
}

// turn is the record of a turn with so many bytes of prompt and answer.
func turn(p, index, prompt, answer int) *record.Turn {
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

// publish is the record that sets a workspace with two keys.
func publish(i int, base ids.Revision) *record.Publish {
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

// configured returns a config stream with so many workspaces.
func configured(workspaces int) (s *stream, catalog *config.Catalog) {
	catalog = config.New()
	s = newStream(catalog)
	for i := range templates {
		s.add(&record.Publish{Object: fmt.Sprintf("template/template-%02d", i), Base: ids.NoRevision, Document: json.RawMessage(templateDocument)})
	}
	for i := range workspaces {
		s.add(publish(i, ids.NoRevision))
	}
	return s, catalog
}
