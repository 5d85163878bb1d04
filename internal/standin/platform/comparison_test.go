package platform_test

import (
	"persimmonbay/internal/platform/api"
	standin "persimmonbay/internal/standin/platform"
)

// keys are the keys that the property test writes.
var keys = []string{"a", "a/x", "a/y", "b/x", "ab"}

// comparison applies the same operations to the store and to the model.
type comparison struct {
	store *standin.Store
	model *model
}

// current returns the version of the key in the model and whether it is present;
// the version of an absent key is 0.
func (c *comparison) current(key string) (uint64, bool) {
	kv, present := c.model.current(key)
	if !present {
		return 0, false
	}
	return kv.Version, true
}

func sameItems(got, want []api.KeyValue) bool {
	if len(got) != len(want) {
		return false
	}
	for i := range got {
		if got[i].Key != want[i].Key || got[i].Version != want[i].Version || !sameBytes(got[i].Value, want[i].Value) {
			return false
		}
	}
	return true
}

func sameEvents(got, want []api.Event) bool {
	if len(got) != len(want) {
		return false
	}
	for i := range got {
		g, w := got[i], want[i]
		if g.Revision != w.Revision || g.Version != w.Version || g.Type != w.Type || g.Key != w.Key || !sameBytes(g.Value, w.Value) {
			return false
		}
	}
	return true
}
