// Package events is the catalogue of the daemon's log events. docs/EVENTS.md has the same content for operators.
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
	// Action says what the operator does.
	Action string
	// Fields are the names of the fields that the event may have.
	Fields []string
}

// nothing is the action for events that need none.
const nothing = "Nothing."

// catalogue holds every event in the order of definition.
var catalogue []Event

func define(number int, name string, level zapcore.Level, meaning, action string, fields ...string) *Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action, Fields: fields}
	catalogue = append(catalogue, e)
	return &e
}

// All returns every event by number.
func All() []Event { return append([]Event(nil), catalogue...) }

// Log writes an event. The caller gives only fields that the event's catalogue entry names.
func Log(l *zap.Logger, e *Event, fields ...zap.Field) {
	checked := l.Check(e.Level, e.Name)
	if checked == nil {
		return
	}
	written := []zap.Field{zap.Int(NumberField, e.Number)}
	for _, f := range fields {
		written = append(written, plain(f))
	}
	checked.Write(written...)
}

// plain keeps zap from adding a field errorVerbose with a stack trace, which is not in the catalogue.
func plain(f zap.Field) zap.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	return f
}

// NewLogger returns a logger that writes one JSON object a line, with the event's name in the field name.
func NewLogger(w io.Writer, level zapcore.LevelEnabler) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "name",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level))
}
