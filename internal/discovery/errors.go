package discovery

import (
	"errors"
	"fmt"
)

// rejectedError is the error of a request that discovery rejected for now (503, 429). It says nothing about the list: the known version
// stays valid.
type rejectedError struct {
	status string
}

// Error is the HTTP status of the rejection.
func (e *rejectedError) Error() string { return "discovery answered " + e.status }

// malformedError is the error of a response that makes no sense. After it the known version is dropped, and the complete list is
// fetched.
type malformedError struct {
	err error
}

// Error is the text of the cause.
func (e *malformedError) Error() string { return e.err.Error() }

// Unwrap is the cause.
func (e *malformedError) Unwrap() error { return e.err }

func malformedf(format string, args ...any) error {
	return &malformedError{fmt.Errorf(format, args...)}
}

func isRejected(err error) bool {
	var rejected *rejectedError
	return errors.As(err, &rejected)
}

func isMalformed(err error) bool {
	var malformed *malformedError
	return errors.As(err, &malformed)
}
