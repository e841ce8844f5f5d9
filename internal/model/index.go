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

// Holding is what an upstream holds of one snapshot: the service's partition
// map in that version and the shards that this upstream can search.
type Holding struct {
	Version    Version   `json:"version"`
	Shards     []Shard   `json:"shards"`
	HeldShards []ShardID `json:"holds"`
}

// IndexReport is what an upstream last said of itself, as learned by its
// dispatcher.
type IndexReport struct {
	Upstream UpstreamID `json:"upstream"`
	// Observed is when the dispatcher read it, on the dispatcher's clock.
	Observed Instant   `json:"observed"`
	Holdings []Holding `json:"holdings"`
	Draining bool      `json:"draining"`
	// Reachable is false when the dispatcher cannot connect.
	Reachable bool `json:"reachable"`
	// FreeSlots and Queued are the dispatcher's own count, not the upstream's.
	FreeSlots int `json:"free_slots"`
	Queued    int `json:"queued"`
	// Limit is the learned concurrency limit.
	Limit int `json:"limit"`
	// ReportedInFlight is the load that the upstream reports of itself, which may
	// lag or mislead, and ReportedAge its age when this report was made.
	ReportedInFlight int           `json:"reported_in_flight"`
	ReportedAge      time.Duration `json:"reported_age"`
}
