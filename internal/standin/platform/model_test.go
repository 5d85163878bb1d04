package platform_test

import (
	"sort"
	"strings"

	"persimmonbay/internal/platform/api"
)

// model is a reference model of the store: the list of all its events in order.
type model struct {
	events []api.Event
}

// current returns the state of the key after all events and whether it is present.
func (m *model) current(key string) (api.KeyValue, bool) {
	for i := len(m.events) - 1; i >= 0; i-- {
		if e := m.events[i]; e.Key == key {
			return api.KeyValue{Key: key, Value: e.Value, Version: e.Version}, e.Type == api.EventPut
		}
	}
	return api.KeyValue{}, false
}

// write appends an event under the next revision and returns that revision.
func (m *model) write(kind api.EventType, key string, value []byte) uint64 {
	revision := uint64(len(m.events) + 1)
	m.events = append(m.events, api.Event{Revision: revision, Type: kind, Key: key, Value: value, Version: revision})
	return revision
}

// after returns the events under prefix after revision.
func (m *model) after(revision uint64, prefix string) []api.Event {
	events := []api.Event{}
	for _, e := range m.events[revision:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// list returns the keys under prefix, ordered by key.
func (m *model) list(prefix string) []api.KeyValue {
	items := []api.KeyValue{}
	seen := make(map[string]bool)
	for _, e := range m.events {
		if seen[e.Key] || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		seen[e.Key] = true
		if kv, ok := m.current(e.Key); ok {
			items = append(items, kv)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}
