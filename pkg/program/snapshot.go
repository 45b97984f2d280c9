package program

import "errors"

// Snapshot encodes the state. Equal states have equal encodings.
func (s *Slot) Snapshot() (data []byte, err error) {
	return nil, errors.New("snapshot is not implemented")
}

// Restore replaces the state by an encoded one.
func (s *Slot) Restore(data []byte) error { return errors.New("snapshot is not implemented") }
