package jobstore

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Prefix is the prefix of the keys of all shards.
const Prefix = "persimmonbay/jobs/"

// Shards is the number of shards.
const Shards = 64

// ShardOf returns the index of the shard that holds the job with this ID.
func ShardOf(job string) int { return int(xxhash.Sum64String(job) % Shards) }

func key(shard int) string { return fmt.Sprintf("%s%02d", Prefix, shard) }

// shardOfKey returns the index of the shard stored under a key, and false when
// the key is not one of a shard.
func shardOfKey(key string) (int, bool) {
	number, found := strings.CutPrefix(key, Prefix)
	shard, err := strconv.Atoi(number)
	return shard, found && err == nil && shard >= 0 && shard < Shards
}
