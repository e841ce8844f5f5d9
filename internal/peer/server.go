package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// Server receives the streams of peers.
type Server struct {
	peerpb.UnimplementedPeerServer
	self     model.HostID
	listener Listener
	grpc     *grpc.Server
}

// Limits of a connection. A peer opens one stream, and another one while the first has not ended yet.
const (
	// handshakeTimeout bounds the time from a connection's opening to the end of its handshake.
	handshakeTimeout = 10 * time.Second
	maxStreams       = 4
	maxHeadBytes     = 8 << 10
)

// NewServer returns a server that delivers messages to the listener.
func NewServer(self model.HostID, creds credentials.TransportCredentials, listener Listener) *Server {
	s := &Server{self: self, listener: listener}
	s.grpc = grpc.NewServer(grpc.Creds(creds), grpc.MaxRecvMsgSize(maxFrameBytes),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeadBytes),
		grpc.ReadBufferSize(transportBufferBytes),
		grpc.WriteBufferSize(transportBufferBytes))
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts streams on a network listener until Stop is called.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); err != nil {
		return fmt.Errorf("serve peers on %s: %w", l.Addr(), err)
	}
	return nil
}

// Stop ends all streams.
func (s *Server) Stop() { s.grpc.Stop() }

// Exchange delivers the frames of one stream. A frame that is addressed to another
// host ends the stream with FailedPrecondition, because this host has taken over the
// address of that host.
func (s *Server) Exchange(in grpc.ClientStreamingServer[peerpb.Frame, peerpb.Closed]) error {
	var from model.HostID
	var lastSequence uint64
	for {
		frame, err := in.Recv()
		if err != nil {
			if from != "" {
				s.listener.PeerLost(from)
			}
			if errors.Is(err, io.EOF) {
				return in.SendAndClose(&peerpb.Closed{})
			}
			return fmt.Errorf("stream from %q: %w", from, err)
		}
		if model.HostID(frame.GetTo()) != s.self {
			return status.Errorf(codes.FailedPrecondition, "this is host %s, but the frame is addressed to host %s", s.self, frame.GetTo())
		}
		if frame.GetSequence() <= lastSequence {
			continue
		}
		lastSequence = frame.GetSequence()
		from = model.HostID(frame.GetFrom())
		s.deliver(from, frame)
	}
}

// deliver passes the messages of a frame to the listener. Messages that cannot be
// decoded are dropped, such as those of a type that only newer builds define.
func (s *Server) deliver(from model.HostID, frame *peerpb.Frame) {
	incarnation := model.Incarnation(frame.GetIncarnation())
	for _, wire := range frame.GetMessages() {
		if m, err := decode(wire); err == nil {
			s.listener.PeerMessage(from, incarnation, bound(m))
		}
	}
}
