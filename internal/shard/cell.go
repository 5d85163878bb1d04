package shard

import "sync"

// Cell holds one value under its own lock, that is, a state of a single shard, with a
// channel that is closed at the next change, so that readers can wait for it.
type Cell[V any] struct {
	mu      sync.Mutex // guards value and changed
	value   V
	changed chan struct{}
}

// NewCell returns a cell that holds value.
func NewCell[V any](value V) *Cell[V] {
	return &Cell[V]{value: value, changed: make(chan struct{})}
}

// Get returns the value.
func (c *Cell[V]) Get() V {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// Watch returns the value and a channel that is closed when it changes.
func (c *Cell[V]) Watch() (V, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value, c.changed
}

// Update replaces the value by the one that change returns, unless changed is false,
// and returns changed. The lock is held while change runs.
func (c *Cell[V]) Update(change func(old V) (value V, changed bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	value, changed := change(c.value)
	if !changed {
		return false
	}
	c.value = value
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}
