package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits and timeouts of the streams.
const (
	// maxQueuedMessages bounds the messages that are queued for one peer.
	maxQueuedMessages = 4096
	// maxFrameBytes bounds the encoded size of one frame.
	maxFrameBytes = 4 << 20
	// transportBufferBytes is the size of each read and write buffer. It is small
	// because a node has hundreds of streams, and most frames are small.
	transportBufferBytes = 8 << 10
	// maxFrameMessages and targetFrameBytes bound the messages in one frame. The last
	// message may exceed targetFrameBytes.
	maxFrameMessages = 256
	targetFrameBytes = 256 << 10
	// connectTimeout bounds the opening of a stream.
	connectTimeout = 2 * time.Second
	// closeTimeout bounds the sending of queued messages in Close.
	closeTimeout = 1 * time.Second
)

// Listener receives the messages and the ends of streams.
type Listener interface {
	// PeerMessage delivers a message.
	PeerMessage(from model.HostID, incarnation model.Incarnation, m message.Message)
	// PeerLost reports that a stream to or from a host ended.
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
	// closing is closed when the streams must send their queued messages and end.
	closing chan struct{}
}

// streamKey identifies a stream. A host that returns at another address gets a new
// stream.
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

// Send queues a message for a peer and opens the stream if there is none. If the
// queue is full, Send cancels the stream, and the listener's PeerLost is called.
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
	if !s.outbox.push(m) {
		s.cancel()
	}
}

// Close sends the queued messages for at most closeTimeout, ends all streams and
// waits for their goroutines.
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

// open starts the goroutine of a stream. The caller must hold mu.
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
		// The error is ignored: whatever it is, messages in flight are lost.
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
