package test

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"persimmonbay/internal/configstore"
	standinplatform "persimmonbay/internal/standin/platform"
)

var _ = Describe("an accepted configuration", func() {
	It("is in force everywhere in time with one entry cut from the store", func() {
		f := startConfigFleet(3)
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		watchVersions(f.operator(0), f.operator(1), f.operator(2))
		f.relays[2].Cut()
		second := f.apply(0, first, "second")
		f.expectInForce(second)
		f.relays[2].Heal()
		f.expectInForce(f.apply(2, second, "third"))
	})

	It("is in force everywhere in time with the store down right after acceptance", func() {
		f := startConfigFleet(3)
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		watchVersions(f.operator(0), f.operator(1), f.operator(2))
		f.relays[1].Cut() // so that no watch delivers the version before the outage
		f.relays[2].Cut()
		second := f.apply(0, first, "second")
		f.faults(standinplatform.Faults{Outage: true})
		f.expectInForce(second)
	})

	It("is in force everywhere in time when all watches have gone silent", func() {
		f := startConfigFleet(3)
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		for _, r := range f.relays {
			r.Silence()
		}
		f.expectInForce(f.apply(1, first, "second"))
	})

	It("is in force everywhere in time without waiting for the next heartbeat", func() {
		f := startConfigFleetWith(3, "1h")
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		f.relays[1].Cut()
		f.relays[2].Cut()
		f.expectInForce(f.apply(0, first, "second"))
	})

	It("is in force after all entries were restarted", func() {
		f := startConfigFleet(3)
		first := f.apply(0, 0, "first")
		second := f.apply(1, first, "second")
		f.expectInForce(second)
		for i := range f.entries {
			f.restart(i)
		}
		watchVersions(f.operator(0), f.operator(1), f.operator(2))
		f.expectInForce(second)
		f.expectInForce(f.apply(2, second, "third"))
	})

	It("is fetched from peers by an entry restarted while the store is down", func() {
		f := startConfigFleet(3)
		first := f.apply(0, 0, "first")
		second := f.apply(0, first, "second")
		f.expectInForce(second)
		f.faults(standinplatform.Faults{Outage: true})
		f.restart(2)
		watchVersions(f.operator(2))
		f.expectInForce(second)
		Expect(f.version(2)).To(Equal(second))
		Eventually(func() int { return f.ready(2) }, patience).Should(Equal(http.StatusOK))
		f.faults(standinplatform.Faults{})
		Eventually(func() string { return f.applied(2, second, "third") }, patience, 100*time.Millisecond).ShouldNot(BeEmpty())
	})

	It("leaves an entry not ready until it reaches the store or a peer", func() {
		f := startConfigFleet(2)
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		f.faults(standinplatform.Faults{Outage: true})
		f.entries[0].kill()
		f.restart(1)
		Consistently(func() int { return f.ready(1) }, "1s", "20ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(f.version(1)).To(BeZero())
		f.faults(standinplatform.Faults{})
		Eventually(func() int { return f.ready(1) }, patience).Should(Equal(http.StatusOK))
		Expect(f.version(1)).To(Equal(first))
	})
})

var _ = Describe("an entry with a configuration in force", func() {
	It("stops being ready while it reaches neither the store nor a peer", func() {
		f := startConfigFleet(2)
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		Eventually(func() int { return f.ready(1) }, patience).Should(Equal(http.StatusOK))
		f.relays[1].Cut()
		Eventually(func() int { return f.ready(1) }, patience).Should(Equal(http.StatusOK))
		Consistently(func() int { return f.ready(1) }, "1s", "20ms").Should(Equal(http.StatusOK)) // reaching the peer suffices
		f.entries[0].kill()
		Eventually(func() int { return f.ready(1) }, patience).Should(Equal(http.StatusServiceUnavailable))
		f.relays[1].Heal()
		Eventually(func() int { return f.ready(1) }, patience).Should(Equal(http.StatusOK))
		Expect(f.version(1)).To(Equal(first))
	})
})

var _ = Describe("operators of the configuration", func() {
	It("who apply at the same time get one acceptance and one conflict that names the winner", func() {
		f := startConfigFleet(2)
		base := f.apply(0, 0, "first")
		f.expectInForce(base)
		watchVersions(f.operator(0), f.operator(1))
		for range 5 {
			amal := start(f.applyArguments(0, base, "amal")...)
			bela := start(f.applyArguments(1, base, "bela")...)
			winner, loser, name := amal, bela, "amal"
			if amal.exits() != 0 {
				winner, loser, name = bela, amal, "bela"
			}
			Expect(winner.exits()).To(Equal(0), winner.log())
			Expect(loser.exits()).To(Equal(1))
			Expect(loser.log()).To(ContainSubstring("conflict"))
			Expect(loser.log()).To(ContainSubstring("applied by " + name))
			var accepted struct{ Version uint64 }
			Expect(json.Unmarshal(winner.session.Out.Contents(), &accepted)).To(Succeed())
			base = accepted.Version
			f.expectInForce(base)
		}
	})

	It("get one acceptance when the store's responses are lost", func() {
		f := startConfigFleet(1)
		first := f.apply(0, 0, "first")
		f.faults(standinplatform.Faults{LoseResponses: 1, Seed: 7})
		second := f.apply(0, first, "second")
		f.faults(standinplatform.Faults{})
		f.expectInForce(second)
		var history []configstore.AppliedVersion
		code, out, stderr := command("config", "history", "-operator", f.operator(0), "-output", "json")
		Expect(code).To(Equal(0), stderr)
		Expect(json.Unmarshal([]byte(out), &history)).To(Succeed())
		Expect(history).To(HaveLen(2))
		Expect(uint64(history[1].Version)).To(Equal(second))
		Expect(history[1].Operator).To(Equal("second"))
	})

	It("get an error that nothing was accepted while the store is down", func() {
		f := startConfigFleet(1)
		first := f.apply(0, 0, "first")
		f.faults(standinplatform.Faults{Outage: true})
		code, _, stderr := command(f.applyArguments(0, first, "second")...)
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("not accepted"))
		Expect(stderr).To(ContainSubstring("apply again"))
		Expect(f.version(0)).To(Equal(first))
	})
})

// applied applies a configuration through the i-th entry and returns the
// output, or the empty string when it was refused.
func (f *configFleet) applied(i int, base uint64, author string) string {
	p := start(f.applyArguments(i, base, author)...)
	Eventually(p.session, patience).Should(gexec.Exit())
	if p.session.ExitCode() != 0 {
		return ""
	}
	return string(p.session.Out.Contents())
}
