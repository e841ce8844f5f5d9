package quarantine

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// maxDescribed bounds the number of blocks in a description.
const maxDescribed = 50

// Description describes the suspect and blocked request content in the state dump.
type Description struct {
	Records        int                `json:"subjects"`
	Suspects       int                `json:"suspects"`
	OperatorBlocks int                `json:"operator_convictions"`
	Blocks         []BlockDescription `json:"convictions"`
}

// BlockDescription describes one block on crash evidence. Left is the remaining time
// of the block.
type BlockDescription struct {
	Service     model.ServiceName `json:"service"`
	Fingerprint string            `json:"fingerprint"`
	Crashes     int               `json:"crashes"`
	Left        time.Duration     `json:"left_nanos"`
}

// Describe returns a description with at most maxDescribed blocks.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		Records:        len(s.records),
		OperatorBlocks: len(s.operatorBlocks),
		Blocks:         []BlockDescription{},
	}
	for _, record := range s.records {
		if now >= record.blockedUntil && now < record.suspectUntil {
			d.Suspects++
		}
	}
	for _, c := range s.blockedContents(now, maxDescribed) {
		record := s.records[c]
		d.Blocks = append(d.Blocks, BlockDescription{
			Service:     c.service,
			Fingerprint: c.fingerprint.String(),
			Crashes:     record.crashCount,
			Left:        record.blockedUntil.Sub(now),
		})
	}
	return d
}
