// Package frame implements the length-prefixed framing of the JSON-RPC messages between instances.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// maxMessageBytes bounds one message between instances. A caller's body in base64 with its envelope fits into it.
	maxMessageBytes = 16 << 20
	// headBytes is the size of a message's length.
	headBytes = 4
)

// ErrTooLarge is wrapped by errors about messages that are larger than the limit.
var ErrTooLarge = errors.New("peer message too large")

// Codec reads and writes JSON messages, each preceded by its length as four bytes in big-endian order. The codecs of
// jsonrpc2 accept any length, so that one message could exhaust an instance's memory.
type Codec struct{}

// Encode returns a message with its length before it.
func Encode(obj any) ([]byte, error) {
	b := bytes.NewBuffer(make([]byte, headBytes))
	if err := json.NewEncoder(b).Encode(obj); err != nil {
		return nil, err
	}
	b.Truncate(b.Len() - 1) // the line break that an Encoder adds
	n := b.Len() - headBytes
	if n > maxMessageBytes {
		return nil, tooLarge(n)
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(n))
	return b.Bytes(), nil
}

func tooLarge(bytes int) error {
	return fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrTooLarge, bytes, maxMessageBytes)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (Codec) WriteObject(w io.Writer, obj any) error {
	message, err := Encode(obj)
	if err != nil {
		return err
	}
	_, err = w.Write(message)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (Codec) ReadObject(r *bufio.Reader, v any) error {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxMessageBytes {
		return tooLarge(int(n))
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
