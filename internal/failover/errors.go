package failover

import (
	"errors"
	"fmt"
)

// Kinds of errors of this package, to be checked with errors.Is.
var (
	ErrInvalidSettings  = errors.New("invalid settings")
	ErrInvalidReport    = errors.New("invalid report")
	ErrInvalidPlacement = errors.New("invalid placement")
	ErrInvalidOverride  = errors.New("invalid override")
	// ErrStalePlacement means that the placement is not newer than the one that was applied last.
	ErrStalePlacement = errors.New("stale placement")
)

// FieldError names the field that makes a value invalid. It wraps the kind of the error.
type FieldError struct {
	Kind   error  // one of this package's ErrInvalid errors
	Field  string // path of the field, such as zones[2].way[0]
	Reason string
}

// Error returns the kind, the field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("failover: %v: %s: %s", e.Kind, e.Field, e.Reason)
}

// Unwrap returns the kind of the error.
func (e *FieldError) Unwrap() error { return e.Kind }

func invalidField(kind error, field, format string, args ...any) error {
	return &FieldError{Kind: kind, Field: field, Reason: fmt.Sprintf(format, args...)}
}
