package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockedOutput is an output that blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestBlockedOutputDropsLines checks that a blocked output does not block Write, that
// dropped lines are counted, and that warnings are not dropped when the queue of info
// lines is full.
func TestBlockedOutputDropsLines(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out, 1_000_000)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		fmt.Fprintf(w, `{"level":"info","n":%d}`+"\n", i)
	}
	for i := range 10 {
		fmt.Fprintf(w, `{"level":"warning","n":%d}`+"\n", i)
	}
	if dropped := w.Dropped(); dropped < lines-maxQueuedLines-2 {
		t.Errorf("%d lines were counted as dropped", dropped)
	}
	close(out.release)
	w.Close()
	<-w.ended
	text := out.written.String()
	if got := strings.Count(text, `"level":"warning","n"`); got != 10 {
		t.Errorf("%d of 10 warnings were written", got)
	}
	if !strings.Contains(text, `"msg":"log lines left out"`) {
		t.Error("no report of the dropped lines")
	}
}

// TestInfoLinesAreRateLimited checks that info lines over the rate limit are dropped and
// that errors are not.
func TestInfoLinesAreRateLimited(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	close(out.release)
	w := NewWriter(out, 5)
	for i := range 50 {
		fmt.Fprintf(w, `{"level":"info","n":%d}`+"\n", i)
		fmt.Fprintf(w, `{"level":"error","n":%d}`+"\n", i)
	}
	w.Close()
	<-w.ended
	text := out.written.String()
	// The next period of the rate limit may start while the lines are written.
	if got := strings.Count(text, `"level":"info"`); got < 5 || got >= 50 {
		t.Errorf("%d info lines were written, want at least 5 and fewer than 50", got)
	}
	if got := strings.Count(text, `"level":"error"`); got != 50 {
		t.Errorf("%d of 50 errors were written", got)
	}
}
