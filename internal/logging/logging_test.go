package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestFullPipeLosesLines checks that an output that blocks holds no writer up, that
// the lost lines are counted, and that warnings outlast good news.
func TestFullPipeLosesLines(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := NewWriter(out, 1_000_000)
	const lines = 3 * queuedLines
	for i := range lines {
		fmt.Fprintf(w, `{"level":"info","n":%d}`+"\n", i)
	}
	for i := range 10 {
		fmt.Fprintf(w, `{"level":"warning","n":%d}`+"\n", i)
	}
	if dropped := w.Dropped(); dropped < lines-queuedLines-2 {
		t.Errorf("%d lines were counted as lost", dropped)
	}
	close(out.release)
	w.Close()
	<-w.ended
	text := out.written.String()
	if got := strings.Count(text, `"level":"warning","n"`); got != 10 {
		t.Errorf("%d of 10 warnings were written", got)
	}
	if !strings.Contains(text, `"msg":"log lines left out"`) {
		t.Error("no count of what was left out")
	}
}

// TestRateBoundsGoodNews checks that good news beyond the rate is left out and
// warnings are not.
func TestRateBoundsGoodNews(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	close(out.release)
	w := NewWriter(out, 5)
	for i := range 50 {
		fmt.Fprintf(w, `{"level":"info","n":%d}`+"\n", i)
		fmt.Fprintf(w, `{"level":"error","n":%d}`+"\n", i)
	}
	w.Close()
	<-w.ended
	text := out.written.String()
	// A second may begin anew while the lines are written.
	if got := strings.Count(text, `"level":"info"`); got < 5 || got >= 50 {
		t.Errorf("%d lines of good news", got)
	}
	if got := strings.Count(text, `"level":"error"`); got != 50 {
		t.Errorf("%d of 50 errors", got)
	}
}
