package configstore_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
)

var _ = Describe("the word on an apply", func() {
	It("holds whatever becomes of writes and answers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			faults := rapid.SliceOfN(rapid.SampledFrom([]fault{healthy, lost, delayed, dropped, refused}), 0, 40).Draw(t, "faults")
			store, clock, stop := newFaulty(faults...)
			defer stop()
			configs := configstore.New(store, clock)
			words := map[string]error{}
			var bases []configuration.Version
			for i := range rapid.IntRange(1, 8).Draw(t, "applies") {
				author := fmt.Sprintf("author-%d", i)
				base := configuration.Version(0)
				if len(bases) > 0 {
					base = rapid.SampledFrom(bases).Draw(t, "base")
				}
				version, err := configs.Apply(context.Background(), author, base, document(author))
				words[author] = err
				if err == nil {
					bases = append(bases, version)
				}
				if rapid.Bool().Draw(t, "land late writes") {
					store.landLate()
				}
			}
			store.landLate()
			checkWords(t, words, written(store.Store))
		})
	})
})

// checkWords holds each author's word against how often its document became
// current in the end.
func checkWords(t *rapid.T, words map[string]error, times map[string]int) {
	for author, err := range words {
		switch {
		case err == nil && times[author] != 1:
			t.Fatalf("%s was told accepted, but was written %d times", author, times[author])
		case err != nil && !problem.Is(err, problem.Interrupted) && times[author] != 0:
			t.Fatalf("%s was told %v, but was written %d times", author, err, times[author])
		case times[author] > 1:
			t.Fatalf("%s was written %d times", author, times[author])
		}
	}
}
