package quota_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/quota"
)

// BenchmarkPropose measures one round of decisions of a pool at the target size: 300 teams
// and 251 pools, all with grants.
func BenchmarkPropose(b *testing.B) {
	k := quota.NewKeeper("pool-0", 7)
	caps, demands, grants := map[string]quota.Amount{}, map[string]quota.Demand{}, map[string]quota.Grant{}
	var pools []string
	for i := range 251 {
		pools = append(pools, fmt.Sprintf("pool-%d", i))
		grants[pools[i]] = quota.Grant{Granted: quota.Amount{MilliCPU: 1000}}
	}
	for i := range 300 {
		team := fmt.Sprintf("team-%d", i)
		caps[team], demands[team] = quota.Amount{MilliCPU: 300_000}, quota.Demand{Used: quota.Amount{MilliCPU: 1000}}
	}
	k.Configure(caps, pools)
	for team := range caps {
		k.Observe(team, quota.Account{Pools: grants}, 5)
	}
	now := time.Unix(1_700_000_000, 0)
	for b.Loop() {
		k.Propose(demands, now)
	}
}
