package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the size of the largest encoded message that Read accepts.
const MaxFrameBytes = 4 << 20

// frameHeaderBytes is the size of the big-endian length before each message.
const frameHeaderBytes = 4

// Write writes a frame, the length of message followed by message, with a single
// call of w.Write.
func Write(w io.Writer, message proto.Message) error {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+proto.Size(message))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, message)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderBytes))
	_, err = w.Write(frame)
	return err
}

// Read reads one frame into message. It returns an error if the message is
// larger than MaxFrameBytes. Memory grows with the bytes received, not with the
// length that the header announces.
func Read(r io.Reader, message proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return fmt.Errorf("reading a frame: its %d bytes exceed the limit of %d", size, MaxFrameBytes)
	}
	frame, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return err
	}
	if uint32(len(frame)) != size {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(frame, message)
}
