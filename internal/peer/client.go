package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits of the streams.
const (
	// outboxMessages bounds the messages that wait for one peer.
	outboxMessages = 4096
	// maxFrameBytes bounds one frame on the wire.
	maxFrameBytes = 4 << 20
	// transportBufferBytes is the size of each read and write buffer: a node has
	// hundreds of streams, and most frames are small.
	transportBufferBytes = 8 << 10
	// frameMessages and frameBytes bound the messages that share a frame; the last
	// of them may go over the bytes.
	frameMessages = 256
	frameBytes    = 256 << 10
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
	if !s.outbox.add(m) {
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
	s := &stream{
		self:    c.self,
		key:     key,
		outbox:  newOutbox(),
		closing: c.closing,
		cancel:  cancel,
	}
	c.streams[key] = s
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		defer cancel()
		// The reason for the end does not matter: what was on its way is lost.
		_ = s.run(ctx, c.credentials)
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
