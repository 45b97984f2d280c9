// Package frame frames the JSON-RPC messages between daemons.
package frame

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// maxMessageBytes bounds one message between daemons; it leaves room for a caller's body in base64 and the envelope.
const maxMessageBytes = 16 << 20

// Codec frames JSON messages with a length of four bytes. The codecs that come with jsonrpc2 accept any length,
// so that one message could exhaust the memory of a daemon.
type Codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (Codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return fmt.Errorf("peer message of %d bytes, at most %d", len(data), maxMessageBytes)
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
		return fmt.Errorf("peer message of %d bytes, at most %d", n, maxMessageBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
