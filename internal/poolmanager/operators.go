package poolmanager

import (
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

// Operators decodes what operators write to the store, and encodes what they read.
type Operators interface {
	// OperatorsPrefix is the prefix of the operators' keys.
	OperatorsPrefix() string
	// ConfigurationKey is the key of the configuration.
	ConfigurationKey() string
	// Configuration decodes the item if it is the configuration, and returns nil for
	// other items.
	Configuration(item store.Item) (*poolconfig.Configuration, error)
	// Wave decodes the item if it is a wave, and returns nil for other items.
	Wave(item store.Item) (*upkeep.Wave, error)
	// WaveStatus returns the key and the value that show operators a wave's state.
	WaveStatus(wave int64, completed bool) (key string, value []byte, err error)
}
