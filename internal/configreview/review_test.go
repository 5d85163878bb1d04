package configreview_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configreview"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/scheduler"
)

// sound returns a configuration without findings.
func sound() *poolconfig.Configuration {
	return &poolconfig.Configuration{
		Version: 7,
		Queues:  []poolconfig.Queue{{Name: "batch", Host: "jobs.example", Prefix: "/batch", Service: "cpu"}, {Name: "all", Host: "jobs.example", Prefix: "/", Service: "cpu"}},
		Pools:   []poolconfig.Pool{{Service: "cpu"}, {Service: "spare", Standby: true}},
		Teams:   []poolconfig.Team{{Name: "red", Keys: []poolconfig.KeyDigest{poolconfig.NewKeyDigest("r")}, Weight: 1, Cap: scheduler.Resources{MilliCPU: 1000, MemoryMB: 1}}},
		Limits:  poolconfig.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 4000, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

var _ = Describe("the review of a configuration", func() {
	It("finds nothing in a sound one", func() { Expect(configreview.Review(sound())).To(BeEmpty()) })

	DescribeTable("finds", func(change func(*poolconfig.Configuration), severity configreview.Severity, place, text string) {
		c := sound()
		change(c)
		Expect(configreview.Review(c)).To(ConsistOf(And(HaveField("Severity", severity), HaveField("Place", place), HaveField("Text", ContainSubstring(text)))))
	},
		Entry("no queues", func(c *poolconfig.Configuration) { c.Queues = nil }, configreview.Warning, "queues", "no job"),
		Entry("an unknown service", func(c *poolconfig.Configuration) { c.Queues[0].Service = "gpu" }, configreview.Error, "queues[0]", `"gpu" is not configured`),
		Entry("a standby pool's queue", func(c *poolconfig.Configuration) { c.Queues[1].Service = "spare" }, configreview.Warning, "queues[1]", "standby"),
		Entry("a hidden queue", func(c *poolconfig.Configuration) { c.Queues[1].Prefix = "/batch" }, configreview.Error, "queues[1]", "queues[0] before it"),
		Entry("an empty host", func(c *poolconfig.Configuration) { c.Queues[0].Host = "" }, configreview.Error, "queues[0]", "host is empty"),
		Entry("a host with a port", func(c *poolconfig.Configuration) { c.Queues[0].Host = "jobs.example:80" }, configreview.Error, "queues[0]", "has a port"),
		Entry("an empty prefix", func(c *poolconfig.Configuration) { c.Queues[0].Prefix = "" }, configreview.Warning, "queues[0]", "prefix is empty"),
		Entry("a prefix without a slash", func(c *poolconfig.Configuration) { c.Queues[0].Prefix = "batch" }, configreview.Error, "queues[0]", "slash"),
		Entry("one name for two queues", func(c *poolconfig.Configuration) { c.Queues[1].Name = "batch" }, configreview.Error, "queues[1]", "also that of queues[0]"),
		Entry("a timeout below the objective", func(c *poolconfig.Configuration) { c.Queues[0].Timeout, c.Queues[0].Objective = 1, 2 }, configreview.Warning, "queues[0]", "shorter"),
		Entry("one name for two pools", func(c *poolconfig.Configuration) { c.Pools[1] = c.Pools[0] }, configreview.Error, "pools[1]", "also that of pools[0]"),
		Entry("a pool without a name", func(c *poolconfig.Configuration) { c.Pools[1].Service = "" }, configreview.Error, "pools[1]", "empty"),
		Entry("a team without keys", func(c *poolconfig.Configuration) { c.Teams[0].Keys = nil }, configreview.Warning, "teams[0]", "no keys"),
		Entry("weight 0", func(c *poolconfig.Configuration) { c.Teams[0].Weight = 0 }, configreview.Warning, "teams[0]", "weight 0"),
		Entry("a negative cap", func(c *poolconfig.Configuration) { c.Teams[0].Cap.MilliCPU = -1 }, configreview.Error, "teams[0]", "negative"),
		Entry("a cap below one core", func(c *poolconfig.Configuration) { c.Teams[0].Cap.MilliCPU = 4 }, configreview.Warning, "teams[0]", "less than one core"),
		Entry("a cap in one resource", func(c *poolconfig.Configuration) { c.Teams[0].Cap.MilliCPU = 0 }, configreview.Warning, "teams[0]", "only memory"),
		Entry("a negative limit", func(c *poolconfig.Configuration) { c.Limits.MaxHeaderBytes = -1 }, configreview.Error, "limits", "negative"),
		Entry("a small limit of bodies", func(c *poolconfig.Configuration) { c.Limits.MaxBodyBytes = 3999 }, configreview.Warning, "limits", "3999"),
		Entry("a header timeout above the idle one", func(c *poolconfig.Configuration) { c.Limits.HeaderTimeout++ }, configreview.Warning, "limits", "longer"),
	)

	It("bounds its findings and puts errors first", func() {
		c := sound()
		for i := range 1000 {
			c.Teams = append(c.Teams, poolconfig.Team{Name: fmt.Sprint(i)})
		}
		c.Limits.IdleTimeout = -1
		found := configreview.Review(c)
		Expect(found).To(HaveLen(500))
		Expect(found[0].Place).To(Equal("limits"))
		Expect(found[499].Text).To(Equal("1502 more findings")) // 2,001 less the 499 that are listed
	})
})

var _ = Describe("the comparison of two configurations", func() {
	It("tells what differs, sorted, and no key", func() {
		old, next := sound(), sound()
		next.Queues[0].Timeout, next.Queues[0].Advice = 1, &scheduler.AdvicePolicy{}
		next.Queues[1].Name = "a"
		next.Teams[0].Keys = []poolconfig.KeyDigest{poolconfig.NewKeyDigest("s"), poolconfig.NewKeyDigest("t")}
		next.Pools, next.Limits.IdleTimeout = next.Pools[:1], 0
		Expect(configreview.Compare(old, next)).To(Equal([]configreview.Difference{
			{Kind: configreview.Added, Place: `queue "a"`},
			{Kind: configreview.Removed, Place: `queue "all"`},
			{Kind: configreview.Changed, Place: `queue "batch"`, Text: "timeout, advice"},
			{Kind: configreview.Removed, Place: `pool "spare"`},
			{Kind: configreview.Changed, Place: `team "red"`, Text: "keys (2 added, 1 removed)"},
			{Kind: configreview.Changed, Place: "limits", Text: "idle timeout"},
		}))
		Expect(configreview.Compare(old, old)).To(BeEmpty())
	})

	It("finds a version that takes no effect", func() {
		old, next := sound(), sound()
		Expect(configreview.HasError(configreview.Supersedes(old, next))).To(BeTrue())
		next.Version++
		Expect(configreview.Supersedes(old, next)).To(BeEmpty())
	})
})
