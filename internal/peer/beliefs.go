package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// encodeBeliefs returns beliefs as they go on the wire.
func encodeBeliefs(m message.RegistryUpdate) (*peerpb.Beliefs, error) {
	out := &peerpb.Beliefs{
		RoutesVersion:     uint64(m.RoutesVersion),
		RoutesAgeNanos:    m.RoutesAge,
		UpstreamsSum:      m.UpstreamsHash,
		UpstreamsAgeNanos: m.UpstreamsAge,
		MembersSum:        m.MembersHash,
		MembersAgeNanos:   m.MembersAge,
		Observations:      encodeObservations(m.Observations),
	}
	for _, suspicion := range m.Suspicions {
		out.Suspicions = append(out.Suspicions, encodeSuspicion(suspicion))
	}
	for _, part := range []struct {
		present bool
		value   any
		into    *[]byte
	}{
		{m.Routes != nil, m.Routes, &out.Routes},
		{m.Upstreams != nil, m.Upstreams, &out.Upstreams},
		{m.Members != nil, m.Members, &out.Members},
	} {
		if !part.present {
			continue
		}
		encoded, err := json.Marshal(part.value)
		if err != nil {
			return nil, fmt.Errorf("encode beliefs: %w", err)
		}
		*part.into = encoded
	}
	return out, nil
}

// decodeBeliefs returns beliefs from the wire.
func decodeBeliefs(m *peerpb.Beliefs) (message.Message, error) {
	out := message.RegistryUpdate{
		RoutesVersion: model.Revision(m.GetRoutesVersion()),
		RoutesAge:     m.GetRoutesAgeNanos(),
		UpstreamsHash: m.GetUpstreamsSum(),
		UpstreamsAge:  m.GetUpstreamsAgeNanos(),
		MembersHash:   m.GetMembersSum(),
		MembersAge:    m.GetMembersAgeNanos(),
		Observations:  decodeObservations(m.GetObservations()),
	}
	for _, suspicion := range m.GetSuspicions() {
		out.Suspicions = append(out.Suspicions, decodeSuspicion(suspicion))
	}
	for _, part := range []struct {
		encoded []byte
		into    any
	}{
		{m.GetRoutes(), &out.Routes},
		{m.GetUpstreams(), &out.Upstreams},
		{m.GetMembers(), &out.Members},
	} {
		if len(part.encoded) == 0 {
			continue
		}
		if err := json.Unmarshal(part.encoded, part.into); err != nil {
			return nil, fmt.Errorf("decode beliefs: %w", err)
		}
	}
	return out, nil
}

// encodeObservations returns observations as they go on the wire.
func encodeObservations(list []model.Observation) []*peerpb.Observation {
	out := make([]*peerpb.Observation, len(list))
	for i, o := range list {
		out[i] = &peerpb.Observation{
			Upstream: string(o.Upstream), Answered: uint32(o.Answered), LatencyNanos: uint64(o.TotalLatency), Failed: uint32(o.Failed),
		}
	}
	return out
}

// decodeObservations returns observations from the wire.
func decodeObservations(list []*peerpb.Observation) []model.Observation {
	out := make([]model.Observation, len(list))
	for i, o := range list {
		out[i] = model.Observation{
			Upstream:     model.UpstreamID(o.GetUpstream()),
			Answered:     int(o.GetAnswered()),
			TotalLatency: time.Duration(o.GetLatencyNanos()),
			Failed:       int(o.GetFailed()),
		}
	}
	return out
}
