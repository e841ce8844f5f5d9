package model

import "time"

// KeySpace is the size of the key space that partition maps divide: keys run
// from zero to KeySpace-1.
const KeySpace = 1 << 16

// Shard is one range of a service's key space in a partition map.
type Shard struct {
	ID ShardID `json:"id"`
	// Low is the first key of the range and High the first key after it.
	Low  uint32 `json:"low"`
	High uint32 `json:"high"`
}

// Holding describes the part of one snapshot that an upstream holds.
type Holding struct {
	Version Version `json:"version"`
	// Shards is the service's partition map in that version.
	Shards []Shard `json:"shards"`
	// HeldShards lists the shards that this upstream can search.
	HeldShards []ShardID `json:"holds"`
}

// IndexReport is the last known status of an upstream, as recorded by its
// dispatcher.
type IndexReport struct {
	Upstream UpstreamID `json:"upstream"`
	// Observed is when the dispatcher read the status, on the dispatcher's clock.
	Observed Instant   `json:"observed"`
	Holdings []Holding `json:"holdings"`
	Draining bool      `json:"draining"`
	// Reachable is false when the dispatcher cannot connect.
	Reachable bool `json:"reachable"`
	// FreeSlots and Queued are counted by the dispatcher, not reported by the
	// upstream.
	FreeSlots int `json:"free_slots"`
	Queued    int `json:"queued"`
	// Limit is the concurrency limit that the dispatcher has learned.
	Limit int `json:"limit"`
	// ReportedInFlight is the load that the upstream reports, which may be outdated
	// or wrong. ReportedAge is its age when this report was made.
	ReportedInFlight int           `json:"reported_in_flight"`
	ReportedAge      time.Duration `json:"reported_age"`
}
