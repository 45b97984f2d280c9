// Package frame implements the length-prefixed framing of the JSON-RPC messages between instances.
package frame

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// maxMessageBytes bounds one message between instances. A caller's body in base64 with its envelope fits into it.
const maxMessageBytes = 16 << 20

// Codec reads and writes JSON messages, each preceded by its length as four bytes in big-endian order. The codecs of
// jsonrpc2 accept any length, so that one message could exhaust an instance's memory.
type Codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (Codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return fmt.Errorf("peer message of %d bytes exceeds the limit of %d", len(data), maxMessageBytes)
	}
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(data)))
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (Codec) ReadObject(r *bufio.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxMessageBytes {
		return fmt.Errorf("peer message of %d bytes exceeds the limit of %d", n, maxMessageBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
