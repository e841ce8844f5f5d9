package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// encodeRegistryUpdate converts a registry update to its wire form.
func encodeRegistryUpdate(m message.RegistryUpdate) (*peerpb.Beliefs, error) {
	out := &peerpb.Beliefs{
		RoutesVersion:     uint64(m.RoutesVersion),
		RoutesAgeNanos:    m.RoutesAge,
		UpstreamsSum:      m.UpstreamsHash,
		UpstreamsAgeNanos: m.UpstreamsAge,
		MembersSum:        m.MembersHash,
		MembersAgeNanos:   m.MembersAge,
		Observations:      encodeObservations(m.Observations),
		UpstreamsRevision: m.UpstreamsRevision,
		MembersRevision:   m.MembersRevision,
		Era:               m.Era,
		EraAgeNanos:       m.EraAge,
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
			return nil, fmt.Errorf("encode registry update: %w", err)
		}
		*part.into = encoded
	}
	return out, nil
}

// decodeRegistryUpdate converts a registry update from its wire form.
func decodeRegistryUpdate(m *peerpb.Beliefs) (message.Message, error) {
	out := message.RegistryUpdate{
		RoutesVersion: model.Revision(m.GetRoutesVersion()),
		RoutesAge:     m.GetRoutesAgeNanos(),
		UpstreamsHash: m.GetUpstreamsSum(),
		UpstreamsAge:  m.GetUpstreamsAgeNanos(),
		MembersHash:   m.GetMembersSum(),
		MembersAge:    m.GetMembersAgeNanos(),
		Observations:  decodeObservations(m.GetObservations()),

		UpstreamsRevision: m.GetUpstreamsRevision(),
		MembersRevision:   m.GetMembersRevision(),
		Era:               m.GetEra(),
		EraAge:            m.GetEraAgeNanos(),
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
			return nil, fmt.Errorf("decode registry update: %w", err)
		}
	}
	return out, nil
}

// encodeObservations converts observations to their wire form.
func encodeObservations(list []model.Observation) []*peerpb.Observation {
	out := make([]*peerpb.Observation, len(list))
	for i, o := range list {
		out[i] = &peerpb.Observation{
			Upstream: string(o.Upstream), Answered: int64(o.Answered), LatencyNanos: uint64(o.TotalLatency), Failed: int64(o.Failed),
		}
	}
	return out
}

// decodeObservations converts observations from their wire form.
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
