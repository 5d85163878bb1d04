package poolstore

import (
	"persimmonbay/internal/quota"
)

// quotaRecord is the stored form of one pool's part of a quota.Account.
type quotaRecord struct {
	Granted []int `cbor:"1,keyasint,omitempty"` // thousandths of a core, MB, accelerators
	Wanted  []int `cbor:"2,keyasint,omitempty"`
	Held    []int `cbor:"3,keyasint,omitempty"`
	Turn    int   `cbor:"4,keyasint,omitempty"`
	Owner   int64 `cbor:"5,keyasint,omitempty"`
}

const (
	// maxQuotaPools limits the pools of one account, maxQuotaAmount each amount.
	maxQuotaPools  = 4096
	maxQuotaAmount = 1 << 40
	// maxServiceName limits the name of a pool in an account, in bytes.
	maxServiceName = 512
)

// QuotaPrefix is the prefix of the teams' accounts. All owners of pools read and write
// them, each under the revision that it has read.
const QuotaPrefix = "quota/"

// QuotaKey returns the key of a team's account.
func QuotaKey(team string) string { return QuotaPrefix + team }

// EncodeQuota returns the value of the key of a team's account.
func EncodeQuota(a *quota.Account) ([]byte, error) {
	records := make(map[string]quotaRecord, len(a.Pools))
	for pool, g := range a.Pools {
		records[pool] = quotaRecord{Granted: amountParts(g.Granted), Wanted: amountParts(g.Wanted), Held: amountParts(g.Held), Turn: g.Turn, Owner: g.Owner}
	}
	return encode(records)
}

// DecodeQuota decodes the value of the key of a team's account. It returns Internal when
// the value cannot be decoded or an amount is out of bounds.
func DecodeQuota(key string, value []byte) (quota.Account, error) {
	var records map[string]quotaRecord
	if err := decode(key, value, &records); err != nil {
		return quota.Account{}, err
	}
	if len(records) > maxQuotaPools {
		return quota.Account{}, invalid(key, "number of pools")
	}
	a := quota.Account{Pools: make(map[string]quota.Grant, len(records))}
	for pool, r := range records {
		granted, ok1 := amountOf(r.Granted)
		wanted, ok2 := amountOf(r.Wanted)
		held, ok3 := amountOf(r.Held)
		if !ok1 || !ok2 || !ok3 || r.Turn < 0 || r.Turn > maxQuotaAmount || r.Owner < 0 || pool == "" || len(pool) > maxServiceName {
			return quota.Account{}, invalid(key, "grant of a pool")
		}
		a.Pools[pool] = quota.Grant{Granted: granted, Wanted: wanted, Held: held, Turn: r.Turn, Owner: r.Owner}
	}
	return a, nil
}

func amountParts(a quota.Amount) []int {
	if a == (quota.Amount{}) {
		return nil
	}
	return []int{a.MilliCPU, a.MemoryMB, a.Accelerators}
}

func amountOf(parts []int) (quota.Amount, bool) {
	if len(parts) == 0 {
		return quota.Amount{}, true
	}
	if len(parts) != 3 {
		return quota.Amount{}, false
	}
	for _, n := range parts {
		if n < 0 || n > maxQuotaAmount {
			return quota.Amount{}, false
		}
	}
	return quota.Amount{MilliCPU: parts[0], MemoryMB: parts[1], Accelerators: parts[2]}, true
}
