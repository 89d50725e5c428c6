package discovery

import (
	"errors"
	"fmt"
)

// rejectedError is returned for a request that discovery rejected temporarily (status 503 or 429). The known version of
// the list stays valid.
type rejectedError struct {
	status string
}

// Error returns a text with the HTTP status of the rejection.
func (e *rejectedError) Error() string { return "discovery answered " + e.status }

// malformedError is returned for a response that cannot be decoded, is too long, does not match its request, or has a
// status other than 200, 429 and 503. The watch then drops the known version and fetches the complete list.
type malformedError struct {
	err error
}

// Error returns the text of the cause.
func (e *malformedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
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
