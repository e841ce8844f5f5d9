package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Traffic of longAnswer. A caller reads an answer in longAnswerBytes/longAnswerRate = 2 s, which is
// within its time budget.
const (
	longAnswerBytes  = 3_000_000
	longAnswerRate   = 1_400_000
	longAnswerBudget = 3 * time.Second
	longAnswerCalls  = 6
	// callerSegmentBytes and callerWindowBytes are those of a link of small packets and windows.
	callerSegmentBytes = 1460
	callerWindowBytes  = 32 << 10
	calmTime           = 6 * time.Second
	// countedAfterGrace is how long after the grace period a loss still counts.
	countedAfterGrace = time.Second
)

// dialSlowCaller opens a connection with small packets and windows to a node.
func dialSlowCaller(n *node) (*caller, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, callerSegmentBytes)
			if optionErr == nil {
				optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerWindowBytes)
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	connection, err := dialer.Dial("tcp", n.callerAddress())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", n.name, err)
	}
	return &caller{connection: connection, reader: bufio.NewReader(connection), bytesPerSecond: longAnswerRate}, nil
}

// longCall is one request of longAnswer.
type longCall struct {
	answer
	sentAt, endedAt time.Time
}

// longAnswer stops a node with SIGTERM while callers read answers that take them two seconds.
func longAnswer(f *fleet, trouble bool) (verdict, error) {
	body := bytes.Repeat([]byte("hawthorntack"), longAnswerBytes/12)
	for _, zone := range []string{"fukuoka", "kumamoto", "kagoshima"} {
		u := &upstream{service: "home-profile", zone: zone, slots: 3, work: 20 * time.Millisecond, rec: f.rec, body: func(string) []byte { return body }}
		if err := f.addUpstream(u); err != nil {
			return verdict{}, err
		}
	}
	route := routeConfig{Name: "r-home", Host: host, Prefix: "/home/", Service: "home-profile", Type: "idempotent", MaxAttempts: 2, TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 2}
	if err := f.configure(7, route); err != nil {
		return verdict{}, err
	}
	if err := f.startNodes("fukuoka", "fukuoka", "kumamoto", "kagoshima"); err != nil {
		return verdict{}, err
	}
	n := f.nodes[0]
	stopAt := time.Now().Add(calmTime)
	endAt := stopAt.Add(stopGrace + countedAfterGrace)
	var mu sync.Mutex
	var calls []longCall
	var callers sync.WaitGroup
	for i := range longAnswerCalls {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			c, err := dialSlowCaller(n)
			if err != nil {
				f.rec.printf("%v", err)
				return
			}
			defer c.close()
			// A caller uses its open connection until the node closes it.
			for time.Now().Before(endAt) {
				id := newID()
				f.rec.printf("sent %s to %s", id, n.name)
				call := longCall{sentAt: time.Now()}
				call.answer = c.send(http.MethodGet, fmt.Sprintf("/home/%d", i), id, longAnswerBudget, nil)
				call.endedAt = time.Now()
				f.rec.printf("answered %s: status %d, %d of %d bytes, error %v", id, call.status, len(call.body), call.promised, call.err)
				mu.Lock()
				calls = append(calls, call)
				mu.Unlock()
				if call.err != nil {
					return
				}
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	if trouble {
		f.rec.printf("SIGTERM to %s", n.name)
		n.signal(syscall.SIGTERM)
		<-n.exitedChannel()
		f.rec.printf("%s has exited %.3f s after SIGTERM; the grace period is %v", n.name, time.Since(stopAt).Seconds(), stopGrace)
	}
	callers.Wait()
	return judgeLongCalls(f, calls), nil
}

// judgeLongCalls counts the requests that were passed on to an upstream and whose connection ended
// before the answer was complete and before their time budget.
func judgeLongCalls(f *fleet, calls []longCall) verdict {
	lost, complete := 0, 0
	for _, call := range calls {
		if call.err == nil {
			complete++
			continue
		}
		runs := 0
		for _, u := range f.upstreams {
			runs += u.runsOf(call.id)
		}
		took := call.endedAt.Sub(call.sentAt)
		if runs > 0 && took < longAnswerBudget-100*time.Millisecond {
			lost++
			f.rec.printf("LOST: %s ran and its connection ended %.3f s after it was sent, with %d of %d bytes", call.id, took.Seconds(), len(call.body), call.promised)
		}
	}
	return verdict{broken: lost > 0, reason: fmt.Sprintf("%d requests, %d complete answers, %d cut after they were passed on", len(calls), complete, lost)}
}
