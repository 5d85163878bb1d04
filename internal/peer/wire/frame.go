package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the size of the largest message that is read.
const MaxFrameBytes = 4 << 20

// frameHeaderBytes is the size of the length before each message.
const frameHeaderBytes = 4

// Write sends message with its length before it, in one write.
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

// Read receives one message. Memory is taken only for what arrives, up to
// MaxFrameBytes.
func Read(r io.Reader, message proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes is larger than %d", size, MaxFrameBytes)
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
