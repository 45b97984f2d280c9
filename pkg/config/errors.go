package config

import (
	"fmt"
	"strings"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ConflictError says that a publish was made from a revision that is not the current one.
type ConflictError struct {
	Object        string
	Base, Current ids.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %s is at revision %d, the document was made from %d", e.Object, e.Current, e.Base)
}

// InvalidError says why a document cannot be in force.
type InvalidError struct {
	Object  string
	Reasons []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid: %s: %s", e.Object, strings.Join(e.Reasons, "; "))
}

// UnknownError says that a record is not about configuration or names no kind of object.
type UnknownError struct {
	What string
}

// Error implements error.
func (e *UnknownError) Error() string { return "unknown: " + e.What }
