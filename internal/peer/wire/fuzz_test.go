package wire

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// FuzzRead checks that Read returns an error or a message that survives another
// Write and Read, and that it consumes no more than one frame.
func FuzzRead(f *testing.F) {
	var whole bytes.Buffer
	if err := Write(&whole, &Request{From: "entry-1", Body: &Request_Heartbeat{Heartbeat: &Heartbeat{Entry: "entry-1", ConfigurationVersion: 7,
		LeavingUpstreams: []*LeavingUpstream{{Instance: "tags-1", HeardMillis: 1}}}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()-1])
	f.Add([]byte{})
	f.Add([]byte{0, 0, 0})
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	f.Add([]byte{0, 0x40, 0, 1})
	f.Fuzz(func(t *testing.T, frame []byte) {
		g := NewWithT(t)
		in := bytes.NewReader(frame)
		message := &Request{}
		if err := Read(in, message); err != nil {
			return
		}
		g.Expect(len(frame) - in.Len()).To(BeNumerically("<=", MaxFrameBytes+frameHeaderBytes))
		ToHeartbeat(message.GetHeartbeat(), time.Unix(0, 0))
		var again bytes.Buffer
		g.Expect(Write(&again, message)).To(Succeed())
		read := &Request{}
		g.Expect(Read(&again, read)).To(Succeed())
		g.Expect(proto.Equal(read, message)).To(BeTrue())
	})
}
