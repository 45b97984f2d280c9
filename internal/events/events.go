// Package events is the catalogue of log events. docs/EVENTS.md is generated from it for operators.
package events

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NumberField is the name of the field that holds an event's number.
const NumberField = "event"

// Event is one kind of log event. Its number and name never change, so that operators can filter by them.
type Event struct {
	Number  int
	Name    string
	Level   zapcore.Level
	Meaning string
	// Action says what the operator should do.
	Action string
	// Fields are the names of the fields that the event may have.
	Fields []string
}

// noAction is the action for events that need none.
const noAction = "Nothing."

// catalogue holds every event in the order of definition, which is the order of the numbers.
var catalogue []Event

func define(number int, name string, level zapcore.Level, meaning, action string, fields ...string) *Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action, Fields: fields}
	catalogue = append(catalogue, e)
	return &e
}

// All returns every event in the order of the numbers.
func All() []Event { return append([]Event(nil), catalogue...) }

// Log writes an event. The event's catalogue entry must list every field that the caller passes.
func Log(l *zap.Logger, e *Event, fields ...zap.Field) {
	entry := l.Check(e.Level, e.Name)
	if entry == nil {
		return
	}
	written := []zap.Field{zap.Int(NumberField, e.Number)}
	for _, f := range fields {
		written = append(written, errorText(f))
	}
	entry.Write(written...)
}

// errorText replaces an error by its text, because zap would add a field errorVerbose with a stack trace, which is not in
// the catalogue.
func errorText(f zap.Field) zap.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	return f
}

// NewLogger returns a logger that writes one JSON object per line, with the event's name in the field "name".
func NewLogger(w io.Writer, level zapcore.LevelEnabler) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "name",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level))
}
