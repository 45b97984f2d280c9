package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
)

const (
	// keyPrefix makes keys recognizable for scanners that look for leaked secrets.
	keyPrefix = "cfl_"
	// keyBytes is the number of random bytes of a key: 256 bits, as many as its SHA-256 hash has.
	keyBytes = 32
	redacted = "[redacted]"
)

// Key is a caller's secret. Formatting or encoding it yields a placeholder. Only Reveal returns the secret.
type Key string

// NewKey returns a key made of bytes from random, which must be cryptographically secure.
func NewKey(random io.Reader) (k Key, err error) {
	var b [keyBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", fmt.Errorf("make a key: %w", err)
	}
	return Key(keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])), nil
}

// Reveal returns the secret.
func (k Key) Reveal() string { return string(k) }

// Hash returns the hash of the key, which is published in place of the key.
func (k Key) Hash() KeyHash { return HashKey(string(k)) }

// String implements fmt.Stringer and does not return the secret.
func (Key) String() string { return redacted }

// Format implements fmt.Formatter and does not write the secret for any verb.
func (Key) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, redacted) }

// MarshalJSON implements json.Marshaler and does not encode the secret.
func (Key) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }

// MarshalText implements encoding.TextMarshaler and does not encode the secret.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// KeyHash is the SHA-256 hash of a key. A waiting request keeps the hash instead of the key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText encodes the hash in hex.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes 64 hex digits.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("key hash has %d characters, want %d hex digits", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("key hash: %w", err)
	}
	return nil
}

// String returns the hash in hex.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }
