package operator_test

import (
	"context"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator"
)

// fakeBackend counts the calls of Apply and returns err from each.
type fakeBackend struct {
	operator.Backend
	err     error
	applied int
}

// Apply implements operator.Backend.
func (b *fakeBackend) Apply(context.Context, string, configuration.Version, []byte) (configuration.Version, error) {
	b.applied++
	return 7, b.err
}
