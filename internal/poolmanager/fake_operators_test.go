package poolmanager

import (
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

// fakeOperators decodes no configuration and no waves, and has one key for the status
// of all waves.
type fakeOperators struct{}

var _ Operators = fakeOperators{}

func (fakeOperators) OperatorsPrefix() string { return "operators/" }

func (fakeOperators) ConfigurationKey() string { return "operators/configuration" }

func (fakeOperators) Configuration(store.Item) (*poolconfig.Configuration, error) { return nil, nil }

func (fakeOperators) Wave(store.Item) (*upkeep.Wave, error) { return nil, nil }

func (fakeOperators) WaveStatus(_ int64, completed bool) (string, []byte, error) {
	if completed {
		return "told/wave", []byte("completed"), nil
	}
	return "told/wave", []byte("active"), nil
}
