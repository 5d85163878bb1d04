package poolmanager

import (
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

// Operators reads what operators write into the store.
type Operators interface {
	// OperatorsPrefix is the prefix of the operators' keys.
	OperatorsPrefix() string
	// Configuration reads the item when it is the configuration, else nil.
	Configuration(item store.Item) (*poolconfig.Configuration, error)
	// Wave reads the item when it is a wave, else nil.
	Wave(item store.Item) (*upkeep.Wave, error)
	// WaveStatus is the key and value by which operators see a wave's state.
	WaveStatus(wave int64, completed bool) (key string, value []byte, err error)
}
