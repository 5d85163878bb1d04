package identity_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/identity"
	"persimmonbay/internal/poolconfig"
)

var _ = Describe("the verdict on a call", func() {
	config := &poolconfig.Configuration{
		Queues: []poolconfig.Queue{{Name: "p", Host: "h", Prefix: "/p/", Public: true}, {Name: "k", Host: "h", Prefix: "/k/"}},
		Teams: []poolconfig.Team{
			{Name: "a", Keys: []poolconfig.KeyDigest{poolconfig.NewKeyDigest("a-1"), poolconfig.NewKeyDigest("a-2")}},
			{Name: "withdrawn"},
		},
	}
	knows := func(age time.Duration) identity.Knowledge {
		return identity.Knowledge{Configuration: config, Directory: identity.NewDirectory(config.Teams), Age: age, Confirmed: age >= 0}
	}
	closed := identity.Policy{FailClosed: true, RevokeWithin: 5 * time.Second}
	const never, atOnce = -time.Second, time.Duration(0)

	DescribeTable("depends on the key and on the age of the configuration", func(p identity.Policy, path, key string, age, waited time.Duration, outcome identity.Outcome, team string) {
		call := identity.Call{Host: "h", Path: path}
		if key != "" {
			digest := poolconfig.NewKeyDigest(key)
			call.Key = &digest
		}
		k := knows(age)
		k.Waited = waited
		v := p.Judge(call, k)
		Expect(v.Outcome).To(Equal(outcome))
		Expect(v.Caller.Team).To(Equal(team))
	},
		Entry("known key", closed, "/k/1", "a-2", 4*time.Second, atOnce, identity.Admitted, "a"),
		Entry("known key, too old", closed, "/k/1", "a-2", 4900*time.Millisecond, atOnce, identity.Outdated, ""),
		Entry("known key, never confirmed", closed, "/k/1", "a-2", never, atOnce, identity.Outdated, ""),
		Entry("known key, not closing", identity.Policy{}, "/k/1", "a-2", time.Hour, atOnce, identity.Admitted, "a"),
		Entry("unknown key, read since the call", closed, "/k/1", "b", 100*time.Millisecond, 100*time.Millisecond, identity.UnknownKey, ""),
		Entry("unknown key, read before the call", closed, "/k/1", "b", 100*time.Millisecond, 99*time.Millisecond, identity.Unconfirmed, ""),
		Entry("unknown key, too old", closed, "/k/1", "b", 5*time.Second, atOnce, identity.Outdated, ""),
		Entry("unknown key, not closing, never confirmed", identity.Policy{}, "/k/1", "b", never, atOnce, identity.Unconfirmed, ""),
		Entry("no key", closed, "/k/1", "", 100*time.Millisecond, time.Second, identity.UnknownKey, ""),
		Entry("public queue, no key", closed, "/p/1", "", time.Hour, atOnce, identity.Admitted, ""),
		Entry("public queue, known key", closed, "/p/1", "a-1", time.Second, atOnce, identity.Admitted, "a"),
		Entry("public queue, known key, too old", closed, "/p/1", "a-1", time.Hour, atOnce, identity.Admitted, ""),
		Entry("no queue", closed, "/x/1", "a-1", time.Second, atOnce, identity.NoQueue, ""),
	)

	It("tells no callers apart where the configuration has no teams", func() {
		v := closed.Judge(identity.Call{Host: "h", Path: "/k/1"}, identity.Knowledge{
			Configuration: &poolconfig.Configuration{Queues: config.Queues}, Directory: identity.NewDirectory(nil),
		})
		Expect(v.Outcome).To(Equal(identity.Admitted))
		Expect(v.Caller.MaySee("a", "k")).To(BeTrue())
	})

	DescribeTable("hides the jobs of other teams", func(c identity.Caller, team, queue string, sees bool) {
		Expect(c.MaySee(team, queue)).To(Equal(sees))
	},
		Entry("own", identity.Caller{Team: "a"}, "a", "k", true), Entry("of another", identity.Caller{Team: "b"}, "a", "k", false),
		Entry("without a team", identity.Caller{Team: "b"}, "", "k", true), Entry("of a public queue", identity.Caller{Public: "p"}, "a", "p", true),
		Entry("of another queue than the public one", identity.Caller{Public: "p"}, "a", "k", false),
		Entry("of another team in a public queue", identity.Caller{Team: "b", Public: "p"}, "a", "p", false),
	)

	It("finds one of 30,000 keys of 10,000 teams", func() {
		teams := make([]poolconfig.Team, 10_000)
		for i := range teams {
			teams[i].Name = fmt.Sprint("team-", i)
			for n := range 3 {
				teams[i].Keys = append(teams[i].Keys, poolconfig.NewKeyDigest(fmt.Sprint(i, "-", n)))
			}
		}
		team, known := identity.NewDirectory(teams).Team(poolconfig.NewKeyDigest("7000-2"))
		Expect(known).To(BeTrue())
		Expect(team).To(Equal("team-7000"))
	})
})
