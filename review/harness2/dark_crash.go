package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// guiltyPath is the path of the request that crashes backends.
	guiltyPath = orderPath + "/guilty"
	// guiltyInterval is the time between two repetitions of it, and guiltyTime the time in which it comes
	// again.
	guiltyInterval = 500 * time.Millisecond
	guiltyTime     = 40 * time.Second
	// crashAfter is the time from the start of its run to the crash.
	crashAfter = 20 * time.Millisecond
	// downTime is how long a backend is down after a crash.
	downTime = 3 * time.Second
	// allowedRetries is the number of late retries that the rule allows.
	allowedRetries = 3
	// fillers is the number of connections that fill the queue of a listener without a backlog.
	fillers = 4
)

// crashes records when the guilty request reached backends, and which it crashed.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
	// crashed holds the backends that it has crashed, and thirdAt when it crashed the third of them.
	crashed map[*backend]bool
	thirdAt time.Time
}

// add records the crash of a backend.
func (c *crashes) add(b *backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed[b] = true
	if len(c.crashed) == 3 && c.thirdAt.IsZero() {
		c.thirdAt = time.Now()
	}
}

// lateRetries returns the number of arrivals later than stabilityWindow after the crash of the third
// backend.
func (c *crashes) lateRetries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.thirdAt.IsZero() {
		return 0
	}
	late := 0
	for _, at := range c.arrivals {
		if at.Sub(c.thirdAt) > stabilityWindow {
			late++
		}
	}
	return late
}

// darkCrash sends a request that crashes each backend which begins to run it. With trouble, a crashed
// backend is dark, as if its machine had lost power: it does not answer and connections to it hang.
// Without, its connections are reset and new ones refused. It returns the number of late retries
// beyond those that are allowed.
func darkCrash(d *deployment, trouble bool) (int, error) {
	seen := crashes{crashed: make(map[*backend]bool)}
	backends, err := d.addPress()
	if err != nil {
		return 0, err
	}
	for _, b := range backends {
		b.answer = func(b *backend, x *exchange) bool {
			if x.request.URL.Path != guiltyPath {
				return b.answerUsually(x)
			}
			seen.mu.Lock()
			seen.arrivals = append(seen.arrivals, time.Now())
			seen.mu.Unlock()
			time.Sleep(crashAfter)
			seen.add(b)
			d.record.add("crash", "backend", b.instance, "id", x.id, "dark", trouble)
			b.crash(trouble)
			return false
		}
	}
	r := orderRoute()
	r.Type = "idempotent"
	d.writeConfig(1, r)
	var nodes []*node
	for zone := range 2 {
		n, err := d.startNode(zoneName(zone))
		if err != nil {
			return 0, err
		}
		nodes = append(nodes, n)
	}
	time.Sleep(settleTime)
	var requests sync.WaitGroup
	end := time.Now().Add(guiltyTime)
	for i := 0; time.Now().Before(end); i++ {
		requests.Go(func() { d.fetch(nodes[i%len(nodes)], guiltyPath) })
		time.Sleep(guiltyInterval)
	}
	requests.Wait()
	late := seen.lateRetries()
	d.record.add("guilty request", "reached backends", len(seen.arrivals), "late retries", late, "allowed", allowedRetries)
	return max(0, late-allowedRetries), nil
}

// fetch sends a request and records the answer.
func (d *deployment) fetch(n *node, path string) {
	id := newID()
	d.record.add("sent", "id", id, "node", n.name, "path", path)
	a := ask(n.front, head(http.MethodGet, orderHost, path, id, orderTimeout, ""), http.MethodGet, 2*orderTimeout, nil)
	d.record.add("answered", "id", id, "answer", a.text())
}

// crash ends the backend's process for downTime. It starts again under its id and address.
func (b *backend) crash(dark bool) {
	b.mu.Lock()
	if b.closed || b.down {
		b.mu.Unlock()
		return
	}
	b.down = true
	connections := make([]net.Conn, 0, len(b.open))
	for c := range b.open {
		connections = append(connections, c)
	}
	b.mu.Unlock()
	var restart func()
	if dark {
		restart = b.goDark()
	} else {
		b.reset(connections)
		b.listener.Close()
		restart = b.listenAgain
	}
	go func() {
		time.Sleep(downTime)
		b.reset(connections)
		restart()
		b.mu.Lock()
		b.down = false
		b.born = time.Now().UnixMilli()
		b.sequence = 0
		b.mu.Unlock()
		b.record.add("backend back", "backend", b.instance)
	}()
}

// reset resets connections.
func (b *backend) reset(connections []net.Conn) {
	for _, c := range connections {
		if tcp, isTCP := c.(*net.TCPConn); isTCP {
			// An error means that the connection is closed.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// goDark lets connections to the listener hang, by a queue without room. It returns a function that
// ends that.
func (b *backend) goDark() (restart func()) {
	b.setBacklog(0)
	var filling []net.Conn
	for range fillers {
		if c, err := net.DialTimeout("tcp", b.listener.Addr().String(), 50*time.Millisecond); err == nil {
			filling = append(filling, c)
		}
	}
	return func() {
		for _, c := range filling {
			c.Close()
		}
		b.setBacklog(unix.SOMAXCONN)
	}
}

// setBacklog sets the length of the listener's queue.
func (b *backend) setBacklog(n int) {
	raw, err := b.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	err = raw.Control(func(fd uintptr) {
		if err := unix.Listen(int(fd), n); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// listenAgain opens the listener on the backend's address again.
func (b *backend) listenAgain() {
	listener, err := net.Listen("tcp", b.listener.Addr().String())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	b.mu.Lock()
	b.listener = listener
	b.mu.Unlock()
	go b.accept(listener)
}
