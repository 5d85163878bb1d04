package platform_test

import (
	"context"
	"reflect"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	standin "persimmonbay/internal/standin/platform"
)

var _ = Describe("the stand-in's store", func() {
	It("behaves like the model, with versions, conditions, lists and watches", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := &comparison{store: standin.NewStore(clockwork.NewFakeClock()), model: &model{}}
			t.Repeat(map[string]func(*rapid.T){
				"put":    c.put,
				"delete": c.delete,
				"list":   c.list,
				"watch":  c.watch,
				"":       c.get,
			})
		})
	})
})

// put writes a key under a random condition.
func (c *comparison) put(t *rapid.T) {
	key := drawKey(t)
	old, _ := c.current(key)
	condition := drawCondition(t, old)
	value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
	version, err := c.store.Put(context.Background(), key, value, condition, "")
	if !condition.Holds(old) {
		if !problem.Is(err, problem.Conflict) || version != old {
			t.Fatalf("put under a false condition: %d, %v", version, err)
		}
		return
	}
	if want := c.model.write("put", key, value); err != nil || version != want {
		t.Fatalf("version %d, %v; want %d, which is never reused", version, err, want)
	}
}

func (c *comparison) delete(t *rapid.T) {
	key := drawKey(t)
	old, present := c.current(key)
	condition := drawCondition(t, old)
	err := c.store.Delete(context.Background(), key, condition)
	switch {
	case !present && !problem.Is(err, problem.NotFound):
		t.Fatalf("delete of an absent key: %v", err)
	case present && !condition.Holds(old) && !problem.Is(err, problem.Conflict):
		t.Fatalf("delete under a false condition: %v", err)
	case present && condition.Holds(old):
		if err != nil {
			t.Fatalf("delete: %v", err)
		}
		c.model.write("delete", key, nil)
	}
}

// list compares a listing with the model at the listing's revision.
func (c *comparison) list(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/"}).Draw(t, "prefix")
	listing, err := c.store.List(context.Background(), prefix)
	want := c.model.list(prefix)
	if err != nil || listing.Revision != uint64(len(c.model.events)) || !sameItems(listing.Items, want) {
		t.Fatalf("list %q: %v, %v; want %v", prefix, listing, err, want)
	}
}

// watch reads all events after a random revision: none may be missing.
func (c *comparison) watch(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/"}).Draw(t, "prefix")
	after := rapid.Uint64Range(0, uint64(len(c.model.events))).Draw(t, "after")
	want := c.model.after(after, prefix)
	if len(want) == 0 {
		return // the watch would block
	}
	changes, err := c.store.Watch(context.Background(), prefix, after, 0)
	if err != nil || changes.Revision != uint64(len(c.model.events)) || !sameEvents(changes.Events, want) {
		t.Fatalf("watch %q after %d: %v, %v; want %v", prefix, after, changes, err, want)
	}
}

func (c *comparison) get(t *rapid.T) {
	for _, key := range keys {
		kv, err := c.store.Get(context.Background(), key)
		want, present := c.model.current(key)
		if present != (err == nil) || present && (kv.Version != want.Version || !sameBytes(kv.Value, want.Value)) {
			t.Fatalf("get %q: %v, %v; want %v", key, kv, err, want)
		}
	}
}

func sameBytes(a, b []byte) bool {
	return len(a) == len(b) && reflect.DeepEqual(append([]byte{}, a...), append([]byte{}, b...))
}

func drawKey(t *rapid.T) string { return rapid.SampledFrom(keys).Draw(t, "key") }

// drawCondition returns a random condition, which may hold or not.
func drawCondition(t *rapid.T, current uint64) platform.Condition {
	return rapid.SampledFrom([]platform.Condition{
		platform.Any(), platform.MustNotExist(), platform.IfVersion(current), platform.IfVersion(current + 1),
	}).Draw(t, "condition")
}
