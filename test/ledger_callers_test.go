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

// ledgerCallers sends keyed requests repeatedly through several entries. mu
// guards responses.
type ledgerCallers struct {
	entries   []string // addresses that serve callers
	mu        sync.Mutex
	responses []ledgerResponse
}

// callerTimeout bounds one request, since an entry may be suspended by SIGSTOP.
const callerTimeout = 8 * time.Second

// run sends requests from concurrent callers until stop is closed.
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

// sendRepeatedly sends a request with one key through two entries concurrently
// and then through a third.
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

// send sends one request and records the response. A failed call is not recorded
// and returns an empty response.
func (c *ledgerCallers) send(entry, key string) ledgerResponse {
	request, err := http.NewRequest(http.MethodPost, entry+"/transfers/transfers", strings.NewReader("flock of "+key))
	if err != nil {
		return ledgerResponse{}
	}
	request.Header.Set("Persimmonbay-Team", "herders")
	request.Header.Set("Persimmonbay-Timeout", fmt.Sprint(callerTimeout.Milliseconds()/2))
	request.Header.Set("Idempotency-Key", key)
	client := &http.Client{Timeout: callerTimeout}
	response, err := client.Do(request)
	if err != nil {
		return ledgerResponse{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ledgerResponse{}
	}
	received := ledgerResponse{key: key, outcome: response.Header.Get("Persimmonbay-Outcome"), status: response.StatusCode, body: string(body)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, received)
	return received
}

// count returns the number of responses so far with this outcome.
func (c *ledgerCallers) count(outcome string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.responses {
		if r.outcome == outcome {
			n++
		}
	}
	return n
}

// all returns the responses so far.
func (c *ledgerCallers) all() []ledgerResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ledgerResponse(nil), c.responses...)
}
