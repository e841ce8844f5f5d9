package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// stream sends messages to one peer.
type stream struct {
	self   model.Member
	key    streamKey
	outbox *outbox
	// closing is closed when the stream must send its queued messages and end.
	closing  <-chan struct{}
	cancel   context.CancelFunc
	out      grpc.ClientStreamingClient[peerpb.Frame, peerpb.Closed]
	sequence uint64
}

// run sends the stream's messages until the stream fails or is cancelled, or until the
// queue is empty once the client is closing.
func (s *stream) run(ctx context.Context, creds credentials.TransportCredentials) error {
	connection, err := grpc.NewClient("passthrough:///"+s.key.address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(transportBufferBytes),
		grpc.WithWriteBufferSize(transportBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxFrameBytes)),
	)
	if err != nil {
		return fmt.Errorf("peer %s at %s: %w", s.key.host, s.key.address, err)
	}
	defer connection.Close()
	if err := s.open(ctx, connection); err != nil {
		return fmt.Errorf("peer %s at %s: %w", s.key.host, s.key.address, err)
	}
	return s.sendLoop(s.watchEnd())
}

// open opens the stream within connectTimeout.
func (s *stream) open(ctx context.Context, connection *grpc.ClientConn) error {
	timer := time.AfterFunc(connectTimeout, s.cancel)
	out, err := peerpb.NewPeerClient(connection).Exchange(ctx)
	if err != nil {
		return err
	}
	if !timer.Stop() {
		return context.DeadlineExceeded
	}
	s.out = out
	return nil
}

// watchEnd returns a channel that receives the error with which the stream ends. gRPC
// reports the end of a stream only to a pending receive; the peer sends nothing before
// the stream ends.
func (s *stream) watchEnd() <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- s.out.RecvMsg(&peerpb.Closed{}) }()
	return ended
}

// sendLoop writes the queued messages as numbered frames until the stream ends, or
// until the queue is empty once the client is closing.
func (s *stream) sendLoop(ended <-chan error) error {
	if err := s.send([]message.Message{s.introduction()}); err != nil {
		return err
	}
	for {
		select {
		case err := <-ended:
			return err
		case <-s.outbox.ready:
			if err := s.send(s.outbox.take(maxFrameMessages)); err != nil {
				return err
			}
		case <-s.closing:
			return s.drain(ended)
		}
	}
}

// introduction returns the first message of a stream. It contains the address for
// replies, for peers that have not received a digest of this node yet. Any regular digest
// takes precedence over it.
func (s *stream) introduction() message.Message {
	member := s.self
	member.State = model.Starting
	return message.Digest{Member: member}
}

// drain writes the queued messages and waits until the peer has received them.
func (s *stream) drain(ended <-chan error) error {
	for {
		messages := s.outbox.take(maxFrameMessages)
		if len(messages) == 0 {
			break
		}
		if err := s.send(messages); err != nil {
			return err
		}
	}
	if err := s.out.CloseSend(); err != nil {
		return err
	}
	return <-ended
}

// send writes messages in order, in as few frames as the frame size allows.
func (s *stream) send(messages []message.Message) error {
	for len(messages) > 0 {
		frame, rest, err := s.nextFrame(messages)
		if err != nil {
			return err
		}
		if err := s.out.Send(frame); err != nil {
			return err
		}
		messages = rest
	}
	return nil
}

// nextFrame builds the next frame and returns the messages that do not fit into it.
func (s *stream) nextFrame(messages []message.Message) (frame *peerpb.Frame, rest []message.Message, err error) {
	s.sequence++
	frame = &peerpb.Frame{
		From:        string(s.self.Host),
		Incarnation: uint64(s.self.Incarnation),
		Sequence:    s.sequence,
		To:          string(s.key.host),
		Messages:    make([]*peerpb.Message, 0, len(messages)),
	}
	size := 0
	for i, m := range messages {
		if size >= targetFrameBytes {
			return frame, messages[i:], nil
		}
		encoded, err := encode(m)
		if err != nil {
			return nil, nil, err
		}
		size += proto.Size(encoded)
		frame.Messages = append(frame.Messages, encoded)
	}
	return frame, nil, nil
}
