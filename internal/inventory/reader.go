package inventory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// turnDuration is how long one entry stays the reader, so that the cost of
// reading is spread over all.
const turnDuration = time.Minute

// StaleAfter returns the age at which a list shows that nobody reads: entries
// learn its freshness by heartbeat, so an age of one read and one heartbeat is
// ordinary.
func StaleAfter(every, heartbeat time.Duration) time.Duration {
	return every + heartbeat + heartbeat/2
}

// Due reports whether the entry called self should read the platform's list
// now. alive are the other entries that are heard; age is how long ago the
// list in use was last known to be current. The entry whose turn it is reads;
// the others only when the list has grown stale.
func Due(self string, alive []string, now time.Time, age, staleAfter time.Duration) bool {
	return age >= staleAfter || reader(self, alive, now) == self
}

// reader returns whose turn it is, by rendezvous hashing over the entries and
// the turn.
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

func score(id, turn string) uint64 { return xxhash.Sum64String(turn + "/" + id) }
