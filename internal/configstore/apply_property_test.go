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

var _ = Describe("the result of an apply", func() {
	It("is correct for all combinations of lost, delayed and rejected writes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			faults := rapid.SliceOfN(rapid.SampledFrom([]fault{healthy, lost, delayed, dropped, refused}), 0, 40).Draw(t, "faults")
			store, clock, stop := newFaulty(faults...)
			defer stop()
			configs := configstore.New(store, clock)
			results := map[string]error{}
			var bases []configuration.Version
			for i := range rapid.IntRange(1, 8).Draw(t, "applies") {
				author := fmt.Sprintf("author-%d", i)
				base := configuration.Version(0)
				if len(bases) > 0 {
					base = rapid.SampledFrom(bases).Draw(t, "base")
				}
				version, err := configs.Apply(context.Background(), author, base, document(author))
				results[author] = err
				if err == nil {
					bases = append(bases, version)
				}
				if rapid.Bool().Draw(t, "apply delayed writes") {
					store.applyDelayed()
				}
			}
			store.applyDelayed()
			checkResults(t, results, written(store.Store))
		})
	})
})

// checkResults compares the result that each author got with how many times the
// author's document became current in the end.
func checkResults(t *rapid.T, results map[string]error, times map[string]int) {
	for author, err := range results {
		switch {
		case err == nil && times[author] != 1:
			t.Fatalf("the apply of %s succeeded, but its document was written %d times", author, times[author])
		case err != nil && !problem.Is(err, problem.Interrupted) && times[author] != 0:
			t.Fatalf("the apply of %s failed with %v, but its document was written %d times", author, err, times[author])
		case times[author] > 1:
			t.Fatalf("the document of %s was written %d times", author, times[author])
		}
	}
}
