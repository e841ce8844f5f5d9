package peer

import (
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// encodeRateReports converts rate reports to their wire form.
func encodeRateReports(m message.RateReports) *peerpb.RateReports {
	out := &peerpb.RateReports{Address: m.Address, HasPart: m.HasPart, Reports: make([]*peerpb.RateReport, len(m.Reports))}
	for i, r := range m.Reports {
		out.Reports[i] = &peerpb.RateReport{
			Upstream: string(r.Upstream), Incarnation: r.Incarnation, Limit: r.Limit, AgeNanos: r.Age, Rate: r.Rate, Limited: r.Limited,
		}
	}
	return out
}

// decodeRateReports converts rate reports from their wire form.
func decodeRateReports(m *peerpb.RateReports) message.RateReports {
	out := message.RateReports{Address: m.GetAddress(), HasPart: m.GetHasPart()}
	for _, r := range m.GetReports() {
		out.Reports = append(out.Reports, message.RateReport{
			Upstream: model.UpstreamID(r.GetUpstream()), Incarnation: r.GetIncarnation(),
			Limit: r.GetLimit(), Age: r.GetAgeNanos(), Rate: r.GetRate(), Limited: r.GetLimited(),
		})
	}
	return out
}
