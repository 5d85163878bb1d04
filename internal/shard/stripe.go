package shard

import "sync"

// stripe is one shard of a Map. mu guards values.
type stripe[K ~string, V any] struct {
	mu     sync.Mutex
	values map[K]V
	_      [40]byte // padding: keeps neighbouring locks in different cache lines
}
