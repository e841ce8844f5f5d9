package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// Limits of the streams.
const (
	// outboxMessages bounds the messages that wait for one peer.
	outboxMessages = 4096
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 4 << 20
	// connectTimeout bounds the opening of a stream.
	connectTimeout = 2 * time.Second
	// closeTimeout bounds the sending of what is queued at the end.
	closeTimeout = 1 * time.Second
)

// Listener is told of what happens on streams.
type Listener interface {
	// PeerMessage delivers a message.
	PeerMessage(from model.HostID, incarnation model.Incarnation, m message.Message)
	// PeerLost tells that a stream to or from a host ended.
	PeerLost(host model.HostID)
}

// Client sends messages to peers. Its methods are safe for concurrent use and
// do not block.
type Client struct {
	self        model.Member
	credentials credentials.TransportCredentials
	listener    Listener

	mu      sync.Mutex
	closed  bool
	streams map[streamKey]*stream
	running sync.WaitGroup
	// closing is closed when the streams are to end after their last message.
	closing chan struct{}
}

// streamKey names a stream: a host that returns at another address is another
// peer.
type streamKey struct {
	host    model.HostID
	address string
}

// stream is the sending side of one peer.
type stream struct {
	outbox chan message.Message
	cancel context.CancelFunc
}

// NewClient returns a client without streams.
func NewClient(self model.Member, creds credentials.TransportCredentials, listener Listener) *Client {
	return &Client{
		self:        self,
		credentials: creds,
		listener:    listener,
		streams:     make(map[streamKey]*stream),
		closing:     make(chan struct{}),
	}
}

// Send queues a message for a peer and opens the stream if there is none. When
// the queue is full the stream is given up, and the listener hears of it.
func (c *Client) Send(to model.HostID, address string, m message.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	key := streamKey{host: to, address: address}
	s := c.streams[key]
	if s == nil {
		s = c.open(key)
	}
	select {
	case s.outbox <- m:
	default:
		s.cancel()
	}
}

// Close sends what is queued, for no longer than closeTimeout, ends all streams
// and waits for their goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	close(c.closing)
	for _, s := range c.streams {
		time.AfterFunc(closeTimeout, s.cancel)
	}
	c.mu.Unlock()
	c.running.Wait()
}

// open starts the goroutine of a stream. The caller holds the lock.
func (c *Client) open(key streamKey) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{outbox: make(chan message.Message, outboxMessages), cancel: cancel}
	c.streams[key] = s
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		defer cancel()
		// The reason for the end does not matter: what was on its way is lost.
		_ = c.run(ctx, key, s)
		c.mu.Lock()
		delete(c.streams, key)
		closed := c.closed
		c.mu.Unlock()
		if !closed {
			c.listener.PeerLost(key.host)
		}
	}()
	return s
}

// run sends a stream's messages until it fails or is cancelled.
func (c *Client) run(ctx context.Context, key streamKey, s *stream) error {
	connection, err := grpc.NewClient("passthrough:///"+key.address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxFrameBytes)),
	)
	if err != nil {
		return fmt.Errorf("peer %s at %s: %w", key.host, key.address, err)
	}
	defer connection.Close()
	out, err := c.exchange(ctx, connection)
	if err != nil {
		return fmt.Errorf("peer %s at %s: %w", key.host, key.address, err)
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		// The peer sends nothing before it ends the stream. Waiting for that notices
		// the end at once, and not only at the next message.
		_ = out.RecvMsg(&peerpb.Closed{})
		s.cancel()
	}()
	return c.pump(out, key, s)
}

// exchange opens the stream within the connect timeout.
func (c *Client) exchange(ctx context.Context, connection *grpc.ClientConn) (grpc.ClientStreamingClient[peerpb.Frame, peerpb.Closed], error) {
	streamCtx, cancel := context.WithCancel(ctx)
	guard := time.AfterFunc(connectTimeout, cancel)
	out, err := peerpb.NewPeerClient(connection).Exchange(streamCtx)
	if !guard.Stop() && err == nil {
		cancel()
		return nil, context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	// The stream's context ends with its parent, when the stream is given up.
	context.AfterFunc(ctx, cancel)
	return out, nil
}

// pump writes the queued messages as numbered frames until the stream ends, or
// until the queue is empty once the client is closing.
func (c *Client) pump(out grpc.ClientStreamingClient[peerpb.Frame, peerpb.Closed], key streamKey, s *stream) error {
	var sequence uint64
	for {
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case m := <-s.outbox:
			sequence++
			if err := c.sendFrame(out, key, sequence, m); err != nil {
				return err
			}
		case <-c.closing:
			return c.drain(out, key, s, sequence)
		}
	}
}

// drain writes what is queued and waits until the peer has taken it.
func (c *Client) drain(out grpc.ClientStreamingClient[peerpb.Frame, peerpb.Closed], key streamKey, s *stream, sequence uint64) error {
	for {
		select {
		case m := <-s.outbox:
			sequence++
			if err := c.sendFrame(out, key, sequence, m); err != nil {
				return err
			}
		default:
			if err := out.CloseSend(); err != nil {
				return err
			}
			// The stream's context ends once the peer has ended the stream.
			<-out.Context().Done()
			return nil
		}
	}
}

// sendFrame writes one message.
func (c *Client) sendFrame(out grpc.ClientStreamingClient[peerpb.Frame, peerpb.Closed], key streamKey, sequence uint64, m message.Message) error {
	frame := &peerpb.Frame{
		From:        string(c.self.Host),
		Incarnation: uint64(c.self.Incarnation),
		Sequence:    sequence,
		To:          string(key.host),
	}
	if err := encode(frame, m); err != nil {
		return err
	}
	return out.Send(frame)
}
