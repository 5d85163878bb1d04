package hostile

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// Callers of an entry name their team; a job entry doesn't read it.
const (
	teamField = "Persimmonbay-Team"
	team      = "herders"
)

// Sizes of what the clients send.
const (
	legalBody   = 256 << 10 // the largest legal body
	smallChunks = 128 << 10 // data bytes sent in chunks of one byte
	largeChunk  = 16 << 10
	pieceBytes  = 8 << 10
	endlessHead = 900 << 10
	largeHead   = 64 << 10
	emptyLines  = 512 << 10 // bytes
	piecePause  = time.Millisecond
)

// attack is what each client of a crowd sends on its connection.
type attack struct {
	name  string
	head  string
	bytes []byte // what follows, whole
	short int    // bytes at the end that most clients never send
	piece int    // bytes that are sent at once; 0: all
}

// attacks returns the kinds of attack by requests of method to path on host.
func attacks(method, path, host string) []attack {
	line := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", method, path, host, teamField, team)
	sized := line + fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", legalBody)
	chunked := line + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	body := legalJSON(legalBody)
	return []attack{
		{name: "bodies of legal size, whole", head: sized, bytes: body},
		{name: "bodies of as many steps as have room, whole", head: sized, bytes: manySteps(legalBody)},
		{name: "bodies of legal size that stop one byte short", head: sized, bytes: body, short: 1},
		{name: "bodies of legal size in pieces that stop one byte short", head: sized, bytes: body, short: 1, piece: pieceBytes},
		{name: "bodies in large chunks that stop short of the last one", head: chunked, bytes: chunks(body, largeChunk), short: len("0\r\n\r\n")},
		{name: "bodies in chunks of one byte that stop short of the last one", head: chunked, bytes: chunks(body[:smallChunks], 1), short: len("0\r\n\r\n")},
		{name: "a head of one line without end", head: line + "X-Long: ", bytes: bytes.Repeat([]byte("x"), endlessHead)},
		{name: "a head of small fields without end", head: line, bytes: fields(endlessHead)},
		{name: "a head over the limit", head: line + "X-Long: ", bytes: []byte(strings.Repeat("x", largeHead) + "\r\n\r\n")},
		{name: "a head that stops one byte short", head: line + "X-Long: ", bytes: []byte(strings.Repeat("x", 8<<10) + "\r\n\r\n"), short: 1},
		{name: "empty lines without end", bytes: bytes.Repeat([]byte("\r\n"), emptyLines/2)},
	}
}

// legalJSON returns a job of n bytes that is encoded as it may be.
func legalJSON(n int) []byte {
	job := `{"spec":"1","phases":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":1}]}`
	return []byte(job[:len(job)-1] + strings.Repeat(" ", n-len(job)) + "}")
}

// manySteps returns a job of n bytes with as many steps as have room, none of which is valid.
func manySteps(n int) []byte {
	begin, step, end := `{"phases":[`, "{},", "{}]}"
	body := begin + strings.Repeat(step, (n-len(begin)-len(end))/len(step)) + end
	return []byte(body + strings.Repeat(" ", n-len(body)))
}

// fields returns about n bytes of short header fields, each with a name of its own.
func fields(n int) []byte {
	var text bytes.Buffer
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "x%x: y\r\n", i)
	}
	return text.Bytes()
}

// chunks returns data in the chunked encoding, with chunks of size bytes.
func chunks(data []byte, size int) []byte {
	var encoded bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	encoded.WriteString("0\r\n\r\n")
	return encoded.Bytes()
}
