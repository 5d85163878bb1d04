package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Bodies on the wire are CBOR, as deploy/wire.toml has it. Field names are those of the pages.

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the bodies are of fixed types
	}
	return data
}

// readBody decodes the body of a request into v; on failure it answers 400.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil && len(data) > 0 {
		err = cbor.Unmarshal(data, v)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(encode(body)) // after an error the caller sees a broken connection
}

// Ports are taken from below the range from which the system takes those of outgoing
// connections, so that a runner that starts again finds its port free.
const (
	firstPort = 21000
	lastPort  = 31999
)

// home is the loopback address of this play, so that plays beside each other don't take each
// other's ports.
var home = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// listen opens a free port on a loopback address.
func listen() net.Listener {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		if !taken(port) {
			continue
		}
		if l, err := net.Listen("tcp", home+":"+strconv.Itoa(port)); err == nil {
			return l
		}
	}
}

// taken reserves a port for this process, and reports false if it was reserved before.
func taken(port int) bool {
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.ports[port] {
		return false
	}
	reserved.ports[port] = true
	return true
}

var reserved = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress() string {
	l := listen()
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
