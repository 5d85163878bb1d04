package jobstore

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Prefix is that of all keys of jobs.
const Prefix = "persimmonbay/jobs/"

// Shards is the number of values that hold all jobs.
const Shards = 64

// ShardOf returns the shard that holds a job.
func ShardOf(job string) int { return int(xxhash.Sum64String(job) % Shards) }

func key(shard int) string { return fmt.Sprintf("%s%02d", Prefix, shard) }

// shardOfKey returns the shard that a key holds.
func shardOfKey(key string) (int, bool) {
	number, found := strings.CutPrefix(key, Prefix)
	shard, err := strconv.Atoi(number)
	return shard, found && err == nil && shard >= 0 && shard < Shards
}
