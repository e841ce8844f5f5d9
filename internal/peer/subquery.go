package peer

import (
	"net/http"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// encodeSubquery returns a subquery as it goes on the wire.
func encodeSubquery(m message.Subquery) *peerpb.Subquery {
	out := &peerpb.Subquery{
		Number:        m.Number,
		Address:       m.Address,
		Route:         m.Route,
		Services:      encodeStrings(m.Services),
		TopRecords:    int64(m.TopRecords),
		RequestId:     m.RequestID,
		Method:        m.Method,
		Authority:     m.Authority,
		Uri:           m.URI,
		Body:          m.Body,
		TimeoutNanos:  m.Timeout,
		ReportInNanos: m.TimeToFirstReport,
		AnswerInNanos: m.TimeToAnswer,
	}
	for name, values := range m.Header {
		out.Headers = append(out.Headers, &peerpb.Header{Name: name, Values: values})
	}
	return out
}

// decodeSubquery returns a subquery from the wire.
func decodeSubquery(m *peerpb.Subquery) message.Subquery {
	out := message.Subquery{
		Number:            m.GetNumber(),
		Address:           m.GetAddress(),
		Route:             m.GetRoute(),
		Services:          decodeStrings[model.ServiceName](m.GetServices()),
		TopRecords:        int(m.GetTopRecords()),
		RequestID:         m.GetRequestId(),
		Method:            m.GetMethod(),
		Authority:         m.GetAuthority(),
		URI:               m.GetUri(),
		Body:              m.GetBody(),
		Timeout:           m.GetTimeoutNanos(),
		TimeToFirstReport: m.GetReportInNanos(),
		TimeToAnswer:      m.GetAnswerInNanos(),
	}
	if headers := m.GetHeaders(); len(headers) > 0 {
		out.Header = make(http.Header, len(headers))
		for _, header := range headers {
			out.Header[header.GetName()] = header.GetValues()
		}
	}
	return out
}

// encodeSubqueryReport returns a subquery's report as it goes on the wire.
func encodeSubqueryReport(m message.SubqueryReport) *peerpb.SubqueryReport {
	out := &peerpb.SubqueryReport{Number: m.Number, RequestId: m.RequestID, Records: m.Records}
	for _, part := range m.Answered {
		out.Answered = append(out.Answered, int64(part.Index))
		out.Signatures = append(out.Signatures, part.Signature)
	}
	for _, failure := range m.Failed {
		out.Failed = append(out.Failed, int64(failure.Index))
		out.Statuses = append(out.Statuses, uint32(failure.Status))
	}
	return out
}

// decodeSubqueryReport returns a subquery's report from the wire; it returns
// *MessageError for one whose lists do not match.
func decodeSubqueryReport(m *peerpb.SubqueryReport) (message.Message, error) {
	if len(m.GetAnswered()) != len(m.GetSignatures()) || len(m.GetFailed()) != len(m.GetStatuses()) {
		return nil, &MessageError{Type: "subquery report with lists of different lengths"}
	}
	out := message.SubqueryReport{Number: m.GetNumber(), RequestID: m.GetRequestId(), Records: m.GetRecords()}
	for i, index := range m.GetAnswered() {
		out.Answered = append(out.Answered, message.SubqueryPart{Index: int(index), Signature: m.GetSignatures()[i]})
	}
	for i, index := range m.GetFailed() {
		out.Failed = append(out.Failed, message.SubqueryFailure{Index: int(index), Status: message.DispatchStatus(m.GetStatuses()[i])})
	}
	return out, nil
}
