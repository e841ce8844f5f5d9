package quarantine

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// maxDescribed bounds the list of convictions in a description.
const maxDescribed = 50

// Description describes suspects and convictions for the state dump.
type Description struct {
	Records        int                `json:"subjects"`
	Suspects       int                `json:"suspects"`
	OperatorBlocks int                `json:"operator_convictions"`
	Blocks         []BlockDescription `json:"convictions"`
}

// BlockDescription describes one conviction on the nodes' own evidence.
type BlockDescription struct {
	Service     model.ServiceName `json:"service"`
	Fingerprint string            `json:"fingerprint"`
	Crashes     int               `json:"crashes"`
	Left        time.Duration     `json:"left_nanos"`
}

// Describe returns a bounded description.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		Records:        len(s.subjects),
		OperatorBlocks: len(s.operators),
		Blocks:         []BlockDescription{},
	}
	for _, found := range s.subjects {
		if now >= found.convictedUntil && now < found.suspectUntil {
			d.Suspects++
		}
	}
	for _, c := range s.convicted(now, maxDescribed) {
		found := s.subjects[c]
		d.Blocks = append(d.Blocks, BlockDescription{
			Service:     c.service,
			Fingerprint: c.print.String(),
			Crashes:     found.counted,
			Left:        found.convictedUntil.Sub(now),
		})
	}
	return d
}
