package keycheck_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/identity"
	"persimmonbay/internal/keycheck"
	"persimmonbay/internal/poolconfig"
)

var _ = Describe("a flood of calls with an unknown key", func() {
	It("is refused by reads sent after each call, counted, and logged once a second", func() {
		now, config := time.Minute, poolconfig.NewInForce()
		config.Put(&poolconfig.Configuration{Version: 3, Queues: []poolconfig.Queue{{Name: "q", Host: "h", Prefix: "/"}}, Teams: []poolconfig.Team{{Name: "t"}}})
		core, lines := observer.New(zap.InfoLevel)
		// Time passes between each two looks at the clock.
		boot := func() time.Duration { now += time.Microsecond; return now }
		c := keycheck.New(identity.Policy{}, config, &slowReader{config: config, now: &now}, boot, zap.New(core))
		digest := poolconfig.NewKeyDigest("secret")
		for range 10 {
			Expect(c.Check(context.Background(), identity.Call{Host: "h", Path: "/", Key: &digest}).Outcome).To(Equal(identity.UnknownKey))
			Expect(c.Recheck(identity.Call{Host: "h", Path: "/", Key: &digest})).To(Equal(identity.UnknownKey))
		}
		Expect(c.Counts()).To(And(HaveKeyWithValue("unknown-key", BeEquivalentTo(20)), HaveKeyWithValue("admitted", BeEquivalentTo(0))))
		Expect(lines.Len()).To(Equal(10))
		Expect(lines.All()[1].ContextMap()).To(HaveKeyWithValue("unlogged", BeEquivalentTo(1)))
	})
})
