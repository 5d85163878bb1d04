package configstore_test

import (
	"context"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
)

var _ = Describe("applying a configuration", func() {
	ctx := context.Background()

	It("accepts one of two concurrent changes and names its operator in the other's conflict", func() {
		store, configs := newFaultySpec()
		base, err := configs.Apply(ctx, "first", 0, document("first"))
		Expect(err).NotTo(HaveOccurred())
		for range 50 {
			var errs [2]error
			var versions [2]configuration.Version
			var both sync.WaitGroup
			for i, name := range []string{"amal", "bela"} {
				both.Go(func() { versions[i], errs[i] = configs.Apply(ctx, name, base, document(name)) })
			}
			both.Wait()
			winner, loser := 0, 1
			if errs[0] != nil {
				winner, loser = 1, 0
			}
			Expect(errs[winner]).NotTo(HaveOccurred())
			Expect(problem.Is(errs[loser], problem.Conflict)).To(BeTrue(), "%v", errs[loser])
			Expect(errs[loser].Error()).To(ContainSubstring("applied by " + []string{"amal", "bela"}[winner]))
			Expect(errs[loser].Error()).To(ContainSubstring(fmt.Sprintf("-base %d", versions[winner])))
			base = versions[winner]
		}
		times := written(store.Store)
		Expect(times["amal"] + times["bela"]).To(Equal(50))
	})

	It("reports a write whose response was lost as accepted, and writes it once", func() {
		store, configs := newFaultySpec(lost)
		version, err := configs.Apply(ctx, "amal", 0, document("amal"))
		Expect(err).NotTo(HaveOccurred())
		current, err := configs.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Version).To(Equal(version))
		Expect(written(store.Store)).To(Equal(map[string]int{"amal": 1}))
	})

	It("reports a write whose response was lost as accepted, even if another change has replaced it", func() {
		store, configs := newFaultySpec(overtake)
		store.overtake = func() {
			current, err := configs.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			_, err = configs.Apply(ctx, "bela", current.Version, document("bela"))
			Expect(err).NotTo(HaveOccurred())
		}
		version, err := configs.Apply(ctx, "amal", 0, document("amal"))
		Expect(err).NotTo(HaveOccurred())
		current, err := configs.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Version).To(BeNumerically(">", version))
		Expect(written(store.Store)).To(Equal(map[string]int{"amal": 1, "bela": 1}))
	})

	It("does not accept a delayed copy of the write a second time", func() {
		store, configs := newFaultySpec(delayed)
		_, err := configs.Apply(ctx, "amal", 0, document("amal"))
		Expect(err).NotTo(HaveOccurred())
		store.applyDelayed()
		Expect(written(store.Store)).To(Equal(map[string]int{"amal": 1}))
	})

	It("reports an unknown outcome while a delayed write may still take effect", func() {
		store, configs := newFaultySpec(delayed, dropped, dropped, dropped, dropped, dropped, dropped, dropped)
		_, err := configs.Apply(ctx, "amal", 0, document("amal"))
		Expect(problem.KindOf(err)).To(Equal(problem.Interrupted))
		Expect(err.Error()).To(ContainSubstring("unknown whether accepted"))
		store.applyDelayed()
		Expect(written(store.Store)).To(Equal(map[string]int{"amal": 1}))
	})

	It("reports that nothing was accepted if the store was unavailable throughout", func() {
		store, configs := newFaultySpec(refused)
		_, err := configs.Apply(ctx, "amal", 0, document("amal"))
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable))
		Expect(err.Error()).To(ContainSubstring("not accepted"))
		store.setDown(true)
		_, err = configs.Apply(ctx, "amal", 0, document("amal"))
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable))
		Expect(written(store.Store)).To(BeEmpty())
	})

	It("stores a bounded history, oldest first", func() {
		store, configs := newFaultySpec()
		var base configuration.Version
		for i := range configstore.HistorySlots + 10 {
			next, err := configs.Apply(ctx, fmt.Sprintf("op-%d", i), base, document("x"))
			Expect(err).NotTo(HaveOccurred())
			base = next
		}
		history, err := configs.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(configstore.HistorySlots + 1))
		for i, a := range history {
			Expect(a.Operator).To(Equal(fmt.Sprintf("op-%d", i+9)))
			if i > 0 {
				Expect(a.Base).To(Equal(history[i-1].Version))
			}
		}
		listing, err := store.List(ctx, "persimmonbay/configuration/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Items).To(HaveLen(configstore.HistorySlots + 1))
	})

	It("names the base to use after the key was deleted from the store", func() {
		store, configs := newFaultySpec()
		base, err := configs.Apply(ctx, "amal", 0, document("amal"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Delete(ctx, configstore.CurrentKey, platform.Any())).To(Succeed())
		_, err = configs.Apply(ctx, "amal", base, document("again"))
		Expect(problem.KindOf(err)).To(Equal(problem.Conflict))
		Expect(err.Error()).To(ContainSubstring("-base 0"))
		next, err := configs.Apply(ctx, "amal", 0, document("again"))
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(BeNumerically(">", base))
	})

	It("leaves the current configuration in place if the document is not valid", func() {
		store, configs := newFaultySpec()
		_, err := configs.Apply(ctx, "amal", 0, []byte("organisation: 3\ncolour: green\n"))
		var findings problem.Findings
		Expect(err).To(BeAssignableToTypeOf(findings))
		Expect(written(store.Store)).To(BeEmpty())
	})
})
