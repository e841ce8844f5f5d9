package statement

import (
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Resolve replaces the durations of blocks by the times at which they expire, so that
// a text has the same meaning on every node at any later time. It returns the text to
// store and the corresponding script. The given script is not modified.
func Resolve(text string, script Script, now model.Instant) (string, Script) {
	var resolved strings.Builder
	end := 0
	for i, change := range script.Changes {
		convict, ok := change.(*Convict)
		if !ok || convict.For == nil {
			continue
		}
		until := Time(now.Add(time.Duration(*convict.For)))
		from, to := convict.durationSpan()
		resolved.WriteString(text[end:from])
		resolved.WriteString("until " + until.String())
		end = to
		fixed := *convict
		fixed.For, fixed.Until = nil, &until
		script.Changes = append([]Change(nil), script.Changes...)
		script.Changes[i] = &fixed
	}
	resolved.WriteString(text[end:])
	return resolved.String(), script
}

// durationSpan returns the byte offsets of "for DURATION" in the text. These are the
// last two words of the statement.
func (c *Convict) durationSpan() (from, to int) {
	word, duration := c.Tokens[len(c.Tokens)-2], c.Tokens[len(c.Tokens)-1]
	return word.Pos.Offset, duration.Pos.Offset + len(duration.Value)
}
