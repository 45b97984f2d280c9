package config

import (
	"fmt"
	"strings"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ConflictError means that a publish is based on a revision of the object that is not the current one.
type ConflictError struct {
	Object        string
	Base, Current ids.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %s is at revision %d, but the document is based on revision %d", e.Object, e.Current, e.Base)
}

// InvalidError lists the reasons for which a document was rejected.
type InvalidError struct {
	Object  string
	Reasons []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid: %s: %s", e.Object, strings.Join(e.Reasons, "; "))
}

// UnknownError means that a record is not a publish, or that its object is of no known kind.
type UnknownError struct {
	What string
}

// Error implements error.
func (e *UnknownError) Error() string { return "unknown: " + e.What }
