package packed

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxBytes is the size of the largest document that Unpack returns.
const maxBytes = 16 << 20

// magic is the start of the gzip format, with which no text document begins.
var magic = []byte{0x1f, 0x8b}

// Pack returns the document compressed with gzip. The result is deterministic.
func Pack(document []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(document) // writing to a buffer does not fail
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the document in data. Data without the gzip header is returned
// unchanged. Unpack returns an error if the compressed data is corrupt or the
// document is larger than 16 MiB.
func Unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, magic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	document, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(document) > maxBytes {
		return nil, fmt.Errorf("decompressing a document: it is larger than %d bytes", maxBytes)
	}
	return document, nil
}
