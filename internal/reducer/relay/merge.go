package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record of a shard's reply.
const recordBytes = 16

// greatest returns the limit greatest records of the bodies, greatest first, by
// their bytes. A remainder shorter than a record is none.
func greatest(bodies [][]byte, limit int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for len(body) >= recordBytes {
			records = append(records, body[:recordBytes:recordBytes])
			body = body[recordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(limit, len(records))]
	return bytes.Join(records, nil)
}
