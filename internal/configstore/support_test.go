package configstore_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/platform/api"
	standin "persimmonbay/internal/standin/platform"
)

// document returns a valid configuration with author as its organisation.
func document(author string) []byte {
	return []byte(fmt.Sprintf(`organisation: %s
classes:
  - {class: normal, weight: 1}
teams:
  - {name: herders, topClass: normal, weight: 1}
pools:
  - {name: spare, spare: true}
services:
  - name: tags
    pool: spare
    availabilityBudget: 0.1
    slots: 8
    connections: 64
    timeout: 2s
    silenceLimit: 500ms
`, author))
}

// newFaulty returns a faulty store and its fake clock, which advances by a second
// whenever something waits for it, until stop is called.
func newFaulty(faults ...fault) (store *faultyStore, clock *clockwork.FakeClock, stop func()) {
	clock = clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(time.Second)
		}
	}()
	return &faultyStore{Store: standin.NewStore(clock), faults: faults}, clock, func() { cancel(); <-done }
}

// newFaultySpec is newFaulty for a spec: it stops the clock at the spec's end.
func newFaultySpec(faults ...fault) (*faultyStore, *configstore.Store) {
	store, clock, stop := newFaulty(faults...)
	DeferCleanup(stop)
	return store, configstore.New(store, clock)
}

// written returns, by author, how many times a document became current.
func written(store *standin.Store) map[string]int {
	changes, err := store.Watch(context.Background(), configstore.CurrentKey, 0, time.Minute)
	Expect(err).NotTo(HaveOccurred())
	times := make(map[string]int)
	for _, e := range changes.Events {
		stored, err := configstore.Decode(api.KeyValue{Key: e.Key, Value: e.Value, Version: e.Version})
		if err != nil {
			continue // a deletion
		}
		author, _, _ := strings.Cut(strings.TrimPrefix(string(stored.Source), "organisation: "), "\n")
		times[author]++
	}
	return times
}
