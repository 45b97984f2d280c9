package program

import "errors"

// Reasons why a record does not count.
var (
	ErrStaleEpoch     = errors.New("epoch is not the current one")
	ErrNotOwner       = errors.New("writer is not the owner of the epoch")
	ErrDuplicateKey   = errors.New("request key is used")
	ErrWrongIndex     = errors.New("turn is not the next one")
	ErrUnknownProgram = errors.New("program does not exist")
	ErrNoIntent       = errors.New("no intent without outcome")
	ErrSpending       = errors.New("settled less than the recorded spending")
	ErrInUse          = errors.New("program was used since the end was decided")
	ErrRecordType     = errors.New("record type does not belong here")
)
