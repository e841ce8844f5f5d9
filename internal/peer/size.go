package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// FrameBytes returns the encoded size, in bytes, of a frame with one message, without
// the headers of the transport. It returns *MessageError for an unknown type.
func FrameBytes(from model.Member, to model.HostID, m message.Message) (int, error) {
	encoded, err := encode(m)
	if err != nil {
		return 0, err
	}
	frame := &peerpb.Frame{
		From:        string(from.Host),
		Incarnation: uint64(from.Incarnation),
		Sequence:    1,
		To:          string(to),
		Messages:    []*peerpb.Message{encoded},
	}
	return proto.Size(frame), nil
}
