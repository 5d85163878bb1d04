package test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// ledgerCallers repeat keyed requests through several entries. mu guards
// words.
type ledgerCallers struct {
	entries []string // callers' addresses
	mu      sync.Mutex
	words   []ledgerWord
}

// callerTimeout bounds one request; entries may be stopped.
const callerTimeout = 8 * time.Second

// run sends until stop is closed, from this many callers.
func (c *ledgerCallers) run(seed uint64, callers int, stop <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for {
				select {
				case <-stop:
					return
				default:
					c.sendRepeatedly(random)
				}
			}
		})
	}
	return &group
}

// sendRepeatedly sends one key through two entries at once and then through a
// third.
func (c *ledgerCallers) sendRepeatedly(random *rand.Rand) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	order := random.Perm(len(c.entries))
	var both sync.WaitGroup
	for _, i := range order[:2] {
		both.Go(func() { c.send(c.entries[i], key.String()) })
	}
	both.Wait()
	c.send(c.entries[order[2]], key.String())
}

// send notes what it is told; a call without an answer is told nothing.
func (c *ledgerCallers) send(entry, key string) ledgerWord {
	request, err := http.NewRequest(http.MethodPost, entry+"/transfers/transfers", strings.NewReader("flock of "+key))
	if err != nil {
		return ledgerWord{}
	}
	request.Header.Set("Persimmonbay-Team", "herders")
	request.Header.Set("Persimmonbay-Timeout", fmt.Sprint(callerTimeout.Milliseconds()/2))
	request.Header.Set("Idempotency-Key", key)
	client := &http.Client{Timeout: callerTimeout}
	response, err := client.Do(request)
	if err != nil {
		return ledgerWord{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ledgerWord{}
	}
	word := ledgerWord{key: key, outcome: response.Header.Get("Persimmonbay-Outcome"), status: response.StatusCode, body: string(body)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.words = append(c.words, word)
	return word
}

// told returns how many words there are of an outcome.
func (c *ledgerCallers) told(outcome string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.words {
		if w.outcome == outcome {
			n++
		}
	}
	return n
}

// all returns the words so far.
func (c *ledgerCallers) all() []ledgerWord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ledgerWord(nil), c.words...)
}
