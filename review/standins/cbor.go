package main

import (
	"encoding/binary"
	"errors"
	"math"
	"sort"
)

// encode returns v as CBOR. It knows nil, bool, integers, string, []any and object.
func encode(v any) []byte { return appendValue(nil, v) }

func appendHead(b []byte, major byte, n uint64) []byte {
	switch {
	case n < 24:
		return append(b, major<<5|byte(n))
	case n <= math.MaxUint8:
		return append(b, major<<5|24, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, major<<5|25), uint16(n))
	case n <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, major<<5|26), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, major<<5|27), n)
}

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case bool:
		if v {
			return append(b, 0xf5)
		}
		return append(b, 0xf4)
	case int:
		return appendValue(b, int64(v))
	case int64:
		if v < 0 {
			return appendHead(b, 1, uint64(-1-v))
		}
		return appendHead(b, 0, uint64(v))
	case float64:
		return binary.BigEndian.AppendUint64(append(b, 0xfb), math.Float64bits(v))
	case string:
		return append(appendHead(b, 3, uint64(len(v))), v...)
	case []any:
		b = appendHead(b, 4, uint64(len(v)))
		for _, e := range v {
			b = appendValue(b, e)
		}
		return b
	case []string:
		b = appendHead(b, 4, uint64(len(v)))
		for _, e := range v {
			b = appendValue(b, e)
		}
		return b
	case object:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		b = appendHead(b, 5, uint64(len(v)))
		for _, k := range keys {
			b = appendValue(appendValue(b, k), v[k])
		}
		return b
	}
	return append(b, 0xf6)
}

var errCBOR = errors.New("body is not understood")

// decode reads one CBOR value: integers as int64, text and bytes as string, arrays as
// []any and maps as object.
func decode(data []byte) (any, error) {
	v, rest, err := takeValue(data)
	if err == nil && len(rest) > 0 {
		err = errCBOR
	}
	return v, err
}

func takeHead(b []byte) (major, info byte, n uint64, rest []byte, err error) {
	if len(b) == 0 {
		return 0, 0, 0, nil, errCBOR
	}
	major, info, b = b[0]>>5, b[0]&31, b[1:]
	size := 0
	switch {
	case info < 24:
		return major, info, uint64(info), b, nil
	case info <= 27:
		size = 1 << (info - 24)
	default:
		return 0, 0, 0, nil, errCBOR
	}
	if len(b) < size {
		return 0, 0, 0, nil, errCBOR
	}
	for _, c := range b[:size] {
		n = n<<8 | uint64(c)
	}
	return major, info, n, b[size:], nil
}

func takeValue(b []byte) (any, []byte, error) {
	major, info, n, b, err := takeHead(b)
	if err != nil {
		return nil, nil, err
	}
	switch major {
	case 0:
		return int64(n), b, nil
	case 1:
		return -1 - int64(n), b, nil
	case 2, 3:
		if uint64(len(b)) < n {
			return nil, nil, errCBOR
		}
		return string(b[:n]), b[n:], nil
	case 4:
		list := []any{}
		for ; n > 0; n-- {
			var e any
			if e, b, err = takeValue(b); err != nil {
				return nil, nil, err
			}
			list = append(list, e)
		}
		return list, b, nil
	case 5:
		m := object{}
		for ; n > 0; n-- {
			var k, e any
			if k, b, err = takeValue(b); err != nil {
				return nil, nil, err
			}
			if e, b, err = takeValue(b); err != nil {
				return nil, nil, err
			}
			name, ok := k.(string)
			if !ok {
				return nil, nil, errCBOR
			}
			m[name] = e
		}
		return m, b, nil
	case 7:
		switch {
		case info == 20 || info == 21:
			return info == 21, b, nil
		case info == 26:
			return float64(math.Float32frombits(uint32(n))), b, nil
		case info == 27:
			return math.Float64frombits(n), b, nil
		}
		return nil, b, nil
	}
	return nil, nil, errCBOR
}

func (r *request) text(name string) string  { s, _ := r.body[name].(string); return s }
func (r *request) number(name string) int64 { n, _ := r.body[name].(int64); return n }
