package latecalls

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

const contentType = "application/cbor"

// readBody decodes the body of a request into v. It aborts the request if it can't be read.
func readBody(r *http.Request, v any) {
	data, err := io.ReadAll(r.Body)
	if err == nil && len(data) > 0 {
		err = cbor.Unmarshal(data, v)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// respond writes a response with an encoded body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(encode(body)) // the client may have closed the connection
}

// encode returns the encoded body. It panics on a value that has no encoding.
func encode(body any) []byte {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}
