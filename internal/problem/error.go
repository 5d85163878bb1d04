package problem

import (
	"errors"
	"strings"
	"time"
)

// Error is an error of one operation of the program.
type Error struct {
	Kind   Kind
	Step   Step
	Peer   string        // name or address of the other side; empty: none
	Detail string        // what happened and, for an operator, what to do next
	Err    error         // the cause; may be nil
	Delay  time.Duration // after which a repeat may succeed; 0: not known
}

// New returns an Error without a cause.
func New(kind Kind, step Step, peer, detail string) *Error {
	return &Error{Kind: kind, Step: step, Peer: peer, Detail: detail}
}

// Wrap returns an Error caused by err.
func Wrap(kind Kind, step Step, peer string, err error) *Error {
	return &Error{Kind: kind, Step: step, Peer: peer, Err: err}
}

// Error returns step, peer, kind, detail and cause as one line of text.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Step))
	if e.Peer != "" {
		b.WriteString(" " + e.Peer)
	}
	b.WriteString(": " + string(e.Kind))
	if reason := e.Reason(); reason != "" {
		b.WriteString(": " + reason)
	}
	return b.String()
}

// Reason returns detail and cause, without step, peer and kind.
func (e *Error) Reason() string {
	switch {
	case e.Err == nil:
		return e.Detail
	case e.Detail == "":
		return e.Err.Error()
	}
	return e.Detail + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, or Internal when
// there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether the first Error in err's chain is of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// DelayOf returns the delay of the first Error in err's chain, or 0 when there is none.
func DelayOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.Delay
	}
	return 0
}
