package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record of a shard's reply, in bytes.
const recordBytes = 16

// largestRecords returns at most limit records of the bodies, in descending byte order. A
// trailing partial record is ignored.
func largestRecords(bodies [][]byte, limit int) []byte {
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
