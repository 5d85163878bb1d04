package shard

import "github.com/cespare/xxhash/v2"

// DefaultShards is the number of shards of a Map made by NewMap.
const DefaultShards = 32

// Map is a map from K to V split into shards by the hash of the key. Each
// shard has its own lock, so operations on different shards never contend.
type Map[K ~string, V any] struct {
	stripes []stripe[K, V]
}

// NewMap returns an empty map with DefaultShards shards.
func NewMap[K ~string, V any]() *Map[K, V] { return NewMapOf[K, V](DefaultShards) }

// NewMapOf returns an empty map with n shards; n below one counts as one.
func NewMapOf[K ~string, V any](n int) *Map[K, V] {
	m := &Map[K, V]{stripes: make([]stripe[K, V], max(n, 1))}
	for i := range m.stripes {
		m.stripes[i].values = make(map[K]V)
	}
	return m
}

// stripe returns the shard of key.
func (m *Map[K, V]) stripe(key K) *stripe[K, V] {
	return &m.stripes[xxhash.Sum64String(string(key))%uint64(len(m.stripes))]
}

// Get returns the value of key and whether it is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok
}

// Set stores value under key.
func (m *Map[K, V]) Set(key K, value V) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = value
}

// Delete removes key and returns the value that it had, and whether it was present.
func (m *Map[K, V]) Delete(key K) (V, bool) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	delete(s.values, key)
	return v, ok
}

// GetOrCreate returns the value of key, storing the one made by create first
// when key is absent. The shard's lock is held while create runs.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	if !ok {
		v = create()
		s.values[key] = v
	}
	return v
}

// Update replaces the value of key by the one that change returns, or removes key
// if keep is false. The shard's lock is held while change runs.
func (m *Map[K, V]) Update(key K, change func(old V, ok bool) (value V, keep bool)) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.values[key]
	value, keep := change(old, ok)
	if keep {
		s.values[key] = value
		return
	}
	delete(s.values, key)
}

// Range calls visit for each entry until it returns false. It copies one shard at a
// time and holds no lock while visit runs, so the entries are not a consistent
// snapshot of the map.
func (m *Map[K, V]) Range(visit func(key K, value V) bool) {
	for i := range m.stripes {
		keys, values := m.stripes[i].copy()
		for j := range keys {
			if !visit(keys[j], values[j]) {
				return
			}
		}
	}
}

// Len returns the number of entries, counted shard by shard.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.stripes {
		m.stripes[i].mu.Lock()
		n += len(m.stripes[i].values)
		m.stripes[i].mu.Unlock()
	}
	return n
}

// copy returns the keys of the shard and their values, in the same order.
func (s *stripe[K, V]) copy() ([]K, []V) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]K, 0, len(s.values))
	values := make([]V, 0, len(s.values))
	for k, v := range s.values {
		keys = append(keys, k)
		values = append(values, v)
	}
	return keys, values
}

// Snapshot calls visit for each entry of one consistent state. It locks all shards,
// in order, calls begin, and unlocks the shards after the last visit.
func (m *Map[K, V]) Snapshot(begin func(), visit func(key K, value V)) {
	for i := range m.stripes {
		m.stripes[i].mu.Lock()
		defer m.stripes[i].mu.Unlock()
	}
	begin()
	for i := range m.stripes {
		for k, v := range m.stripes[i].values {
			visit(k, v)
		}
	}
}
