package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"sort"
)

// object is a CBOR map with text keys.
type object = map[string]any

// encodeCBOR encodes nil, booleans, integers, floats, strings, lists and objects.
func encodeCBOR(v any) []byte { return appendCBOR(nil, v) }

func appendCBOR(b []byte, v any) []byte {
	switch x := v.(type) {
	case nil:
		return append(b, 0xf6)
	case bool:
		if x {
			return append(b, 0xf5)
		}
		return append(b, 0xf4)
	case int:
		return appendCBOR(b, int64(x))
	case int64:
		if x < 0 {
			return appendHead(b, 1, uint64(-(x + 1)))
		}
		return appendHead(b, 0, uint64(x))
	case float64:
		return binary.BigEndian.AppendUint64(append(b, 0xfb), math.Float64bits(x))
	case string:
		return append(appendHead(b, 3, uint64(len(x))), x...)
	case list:
		b = appendHead(b, 4, uint64(len(x)))
		for _, e := range x {
			b = appendCBOR(b, e)
		}
		return b
	case object:
		keys := make([]string, 0, len(x))
		for k := range x {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		b = appendHead(b, 5, uint64(len(x)))
		for _, k := range keys {
			b = appendCBOR(appendCBOR(b, k), x[k])
		}
		return b
	}
	panic(fmt.Sprintf("value of type %T cannot be encoded", v))
}

func appendHead(b []byte, major byte, n uint64) []byte {
	switch major <<= 5; {
	case n < 24:
		return append(b, major|byte(n))
	case n < 1<<8:
		return append(b, major|24, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, major|25), uint16(n))
	case n < 1<<32:
		return binary.BigEndian.AppendUint32(append(b, major|26), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, major|27), n)
}

var errCBOR = errors.New("invalid CBOR")

// decodeCBOR decodes one value. Integers become int64, byte strings become strings.
func decodeCBOR(data []byte) (v any, err error) {
	defer func() {
		if recover() != nil {
			err = errCBOR
		}
	}()
	v, rest := readCBOR(data)
	if len(rest) > 0 {
		return nil, errCBOR
	}
	return v, nil
}

// readCBOR panics if data is too short or holds what the stand-ins do not use.
func readCBOR(data []byte) (any, []byte) {
	major, info, rest := data[0]>>5, data[0]&31, data[1:]
	if major == 7 {
		switch info {
		case 20, 21:
			return info == 21, rest
		case 22, 23:
			return nil, rest
		case 26:
			return float64(math.Float32frombits(binary.BigEndian.Uint32(rest))), rest[4:]
		case 27:
			return math.Float64frombits(binary.BigEndian.Uint64(rest)), rest[8:]
		}
		panic(errCBOR)
	}
	var n uint64
	switch {
	case info < 24:
		n = uint64(info)
	case info <= 27:
		size := 1 << (info - 24)
		for _, c := range rest[:size] {
			n = n<<8 | uint64(c)
		}
		rest = rest[size:]
	default:
		panic(errCBOR)
	}
	switch major {
	case 0:
		return int64(n), rest
	case 1:
		return -1 - int64(n), rest
	case 2, 3:
		return string(rest[:n]), rest[n:]
	case 4:
		out := list{}
		for range n {
			var e any
			e, rest = readCBOR(rest)
			out = append(out, e)
		}
		return out, rest
	case 5:
		out := object{}
		for range n {
			var k, e any
			k, rest = readCBOR(rest)
			e, rest = readCBOR(rest)
			out[k.(string)] = e
		}
		return out, rest
	}
	panic(errCBOR)
}
