package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

var (
	errProtocol      = errors.New("unexpected stream content")
	errEnded         = errors.New("body ended before the stream's end mark")
	errEventTooLarge = fmt.Errorf("event exceeds %d bytes", maxEventBytes)
)

// event is one server-sent event.
type event struct {
	id   int64
	data []byte
	done bool // whether this is the end mark of the stream, [DONE]
}

// eventReader parses server-sent events as specified by the WHATWG HTML standard, section "Server-sent events".
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next event that has data.
func (r *eventReader) next() (e event, err error) {
	for {
		line, err := r.line()
		switch {
		case errors.Is(err, io.EOF):
			return event{}, errEnded
		case err != nil:
			return event{}, err
		case len(line) == 0 && len(e.data) > 0:
			e.done = string(e.data) == "[DONE]"
			return e, nil
		}
		if err := e.parseField(line); err != nil {
			return event{}, err
		}
	}
}

func (e *event) parseField(line []byte) (err error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if e.id, err = strconv.ParseInt(string(value), 10, 64); err != nil {
			return fmt.Errorf("%w: event number: %w", errProtocol, err)
		}
	case "data":
		if len(e.data) > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		if len(e.data) > maxEventBytes {
			return errEventTooLarge
		}
	}
	return nil
}

// line returns the next line without its line end. The slice is valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")), nil
}

// longLine reads the rest of a line that does not fit into the buffer.
func (r *eventReader) longLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		part, err := r.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
