package inventory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// turnDuration is how long one entry stays the reader. Turns spread the cost of
// reading over all entries.
const turnDuration = time.Minute

// StaleAfter returns the age from which a list is stale, that is, apparently no entry
// reads it. Entries learn of reads by heartbeat, so an age of one read interval
// (every) plus one heartbeat interval is normal.
func StaleAfter(every, heartbeat time.Duration) time.Duration {
	return every + heartbeat + heartbeat/2
}

// ShouldRead reports whether the entry self should read the platform's list now.
// alive are the other live entries; age is the time since the list in use was last
// known to be current. The entry whose turn it is reads, and the others only if the
// list is stale.
func ShouldRead(self string, alive []string, now time.Time, age, staleAfter time.Duration) bool {
	return age >= staleAfter || reader(self, alive, now) == self
}

// reader returns the entry whose turn it is, by rendezvous hashing over the entries
// and the number of the turn.
func reader(self string, alive []string, now time.Time) string {
	turn := strconv.FormatInt(now.UnixNano()/int64(turnDuration), 10)
	winner, best := self, score(self, turn)
	for _, id := range alive {
		if s := score(id, turn); s > best || s == best && id > winner {
			winner, best = id, s
		}
	}
	return winner
}

// score is the rendezvous weight of an entry for a turn.
func score(id, turn string) uint64 { return xxhash.Sum64String(turn + "/" + id) }
