package peer

import (
	"fmt"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// MessageError reports a message that cannot be encoded or decoded.
type MessageError struct {
	Type string
}

// Error implements error.
func (e *MessageError) Error() string { return "message cannot be encoded or decoded: " + e.Type }

// encode converts a message to its wire form. It returns *MessageError for a type that
// the protocol does not define.
func encode(m message.Message) (*peerpb.Message, error) {
	out := &peerpb.Message{}
	switch m := m.(type) {
	case message.Dispatch:
		out.Body = &peerpb.Message_Dispatch{Dispatch: encodeDispatch(m)}
	case message.Cancel:
		out.Body = &peerpb.Message_Cancel{Cancel: &peerpb.Cancel{Attempt: encodeAttempt(m.Attempt)}}
	case message.DispatchResult:
		out.Body = &peerpb.Message_DispatchResult{DispatchResult: encodeDispatchResult(m)}
	case message.IndexReport:
		out.Body = &peerpb.Message_IndexReport{IndexReport: encodeIndexReport(m.Report)}
	case message.IndexInterest:
		out.Body = &peerpb.Message_IndexInterest{IndexInterest: &peerpb.IndexInterest{
			Services: encodeStrings(m.Services),
		}}
	case message.OrderForward:
		out.Body = &peerpb.Message_OrderForward{OrderForward: encodeOrderForward(m)}
	case message.OrderOutcome:
		out.Body = &peerpb.Message_OrderOutcome{OrderOutcome: &peerpb.OrderOutcome{
			Call: uint64(m.Call), Answer: encodeAnswer(m.Answer),
		}}
	case message.SessionHandover:
		out.Body = &peerpb.Message_SessionHandover{SessionHandover: encodeSessionHandover(m)}
	case message.HandoverAck:
		out.Body = &peerpb.Message_HandoverAck{HandoverAck: &peerpb.HandoverAck{
			Part: m.Part, From: string(m.From), Incarnation: uint64(m.Incarnation), Attempt: m.Attempt,
		}}
	case message.SessionMoved:
		out.Body = &peerpb.Message_SessionMoved{SessionMoved: &peerpb.SessionMoved{
			From: string(m.From), Incarnation: uint64(m.Incarnation), To: string(m.To),
			Generation: m.Generation, Attempt: m.Attempt,
		}}
	case message.Digest:
		out.Body = &peerpb.Message_Digest{Digest: encodeDigest(m)}
	case message.LogPull:
		out.Body = &peerpb.Message_LogPull{LogPull: &peerpb.LogPull{After: uint64(m.After)}}
	case message.LogEntries:
		out.Body = &peerpb.Message_LogEntries{LogEntries: encodeLogEntries(m)}
	case message.RegistrySubscribe:
		out.Body = &peerpb.Message_Follow{Follow: &peerpb.Follow{
			Address: m.Address, Routes: uint64(m.RoutesVersion), UpstreamsSum: m.UpstreamsHash, MembersSum: m.MembersHash,
			Observations: encodeObservations(m.Observations), Era: m.Era,
		}}
	case message.RegistryUpdate:
		update, err := encodeRegistryUpdate(m)
		if err != nil {
			return nil, err
		}
		out.Body = &peerpb.Message_Beliefs{Beliefs: update}
	case message.Subquery:
		out.Body = &peerpb.Message_Subquery{Subquery: encodeSubquery(m)}
	case message.SubqueryReport:
		out.Body = &peerpb.Message_SubqueryReport{SubqueryReport: encodeSubqueryReport(m)}
	case message.RateReports:
		out.Body = &peerpb.Message_RateReports{RateReports: encodeRateReports(m)}
	case message.SubqueryCancel:
		out.Body = &peerpb.Message_SubqueryCancel{SubqueryCancel: &peerpb.SubqueryCancel{Number: m.Number, RequestId: m.RequestID}}
	case message.Suspicion:
		out.Body = &peerpb.Message_Suspicion{Suspicion: encodeSuspicion(m)}
	case message.Unblock:
		out.Body = &peerpb.Message_Pardon{Pardon: &peerpb.Pardon{
			Service: string(m.Service), Fingerprint: uint64(m.Fingerprint),
		}}
	default:
		return nil, &MessageError{Type: fmt.Sprintf("%T", m)}
	}
	return out, nil
}

func encodeAttempt(id model.AttemptID) *peerpb.Identity {
	return &peerpb.Identity{Host: string(id.Host), Incarnation: uint64(id.Incarnation), Number: id.Number}
}

func encodeRequestID(id model.RequestID) *peerpb.RequestID {
	if id.IsZero() {
		return nil
	}
	return &peerpb.RequestID{Session: encodeAttempt(model.AttemptID(id.Session)), Sequence: id.Sequence}
}

// encodeStrings converts a slice of a string type to a slice of strings.
func encodeStrings[S ~string](values []S) []string {
	if len(values) == 0 {
		return nil
	}
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = string(v)
	}
	return out
}

// encodeRows converts rows to byte slices without copying their contents.
func encodeRows(rows []model.Row) [][]byte {
	if len(rows) == 0 {
		return nil
	}
	out := make([][]byte, len(rows))
	for i, row := range rows {
		out[i] = row
	}
	return out
}

func encodeDispatch(m message.Dispatch) *peerpb.Dispatch {
	return &peerpb.Dispatch{
		Attempt:           encodeAttempt(m.Attempt),
		Upstream:          string(m.Upstream),
		Kind:              uint32(m.Kind),
		RequestId:         encodeRequestID(m.RequestID),
		Version:           uint64(m.Version),
		Shards:            encodeStrings(m.Shards),
		Body:              m.Body,
		TimeLeftNanos:     m.TimeLeft,
		MaxQueueWaitNanos: m.MaxQueueWait,
		User:              string(m.User),
		Fingerprint:       uint64(m.Fingerprint),
		Isolate:           m.Isolate,
		Hedge:             m.Hedge,
		Repeatable:        m.Repeatable,
		Life:              uint64(m.DispatcherIncarnation),
		Priority:          m.Priority,
	}
}

func encodeDispatchResult(m message.DispatchResult) *peerpb.DispatchResult {
	return &peerpb.DispatchResult{
		Attempt:         encodeAttempt(m.Attempt),
		Upstream:        string(m.Upstream),
		Status:          uint32(m.Status),
		Reason:          string(m.Reason),
		Version:         uint64(m.Version),
		Rows:            encodeRows(m.Rows),
		Held:            encodeStrings(m.RowShards),
		RetryAfterNanos: m.RetryAfter,
		FreeSlots:       int64(m.FreeSlots),
		Queued:          int64(m.Queued),
		Crash:           m.Crash,
		Alone:           m.RanAlone,
	}
}

func encodeIndexReport(r model.IndexReport) *peerpb.IndexReport {
	holdings := make([]*peerpb.Holding, 0, len(r.Holdings))
	for _, h := range r.Holdings {
		shards := make([]*peerpb.Shard, 0, len(h.Shards))
		for _, s := range h.Shards {
			shards = append(shards, &peerpb.Shard{Id: string(s.ID), Low: s.Low, High: s.High})
		}
		holdings = append(holdings, &peerpb.Holding{
			Version: uint64(h.Version), Shards: shards, Holds: encodeStrings(h.HeldShards),
		})
	}
	return &peerpb.IndexReport{
		Upstream:  string(r.Upstream),
		Observed:  int64(r.Observed),
		Holdings:  holdings,
		Draining:  r.Draining,
		Reachable: r.Reachable,
		FreeSlots: int64(r.FreeSlots),
		Queued:    int64(r.Queued),
		Limit:     int64(r.Limit),

		ReportedInFlight: int64(r.ReportedInFlight),
		ReportedAgeNanos: int64(r.ReportedAge),
	}
}

func encodeOrderForward(m message.OrderForward) *peerpb.OrderForward {
	return &peerpb.OrderForward{
		Call:          uint64(m.Call),
		RequestId:     encodeRequestID(m.RequestID),
		Service:       string(m.Service),
		Body:          m.Body,
		TimeLeftNanos: m.TimeLeft,
		Acknowledged:  m.Acknowledged,
		Hops:          m.Hops,
	}
}

func encodeAnswer(a model.Answer) *peerpb.Answer {
	out := &peerpb.Answer{
		RequestId:       encodeRequestID(a.RequestID),
		Outcome:         string(a.Outcome),
		Snapshot:        uint64(a.Snapshot),
		Results:         encodeRows(a.Results),
		OrderReply:      a.OrderReply,
		RetryAfterNanos: int64(a.RetryAfter),
		Attempts:        int64(a.Attempts),
		Planned:         int64(a.Planned),
	}
	if a.Coverage != nil {
		out.Coverage = &peerpb.Coverage{
			Searched: int64(a.Coverage.Searched), Total: int64(a.Coverage.Total), Missing: a.Coverage.Missing,
		}
	}
	if a.Failure != nil {
		out.Failure = &peerpb.Failure{Code: string(a.Failure.Code), Message: a.Failure.Message}
	}
	return out
}

func encodeSessionHandover(m message.SessionHandover) *peerpb.SessionHandover {
	out := &peerpb.SessionHandover{
		From: string(m.From), Incarnation: uint64(m.Incarnation), Part: m.Part, Parts: m.Parts,
		Attempt: m.Attempt,
		Life:    uint64(m.SuccessorIncarnation),
	}
	for _, h := range m.Homes {
		out.Homes = append(out.Homes, &peerpb.HandedHome{
			Host:        string(h.Host),
			Incarnation: uint64(h.Incarnation),
			Generation:  h.Generation,
			Issued:      h.Issued,
			Closed:      h.Closed,
			Aged:        h.Aged,
			Expired:     h.Expired,
		})
	}
	for _, s := range m.Sessions {
		out.Sessions = append(out.Sessions, &peerpb.HandedSession{
			Session:      encodeAttempt(model.AttemptID(s.Session)),
			Acknowledged: s.Acknowledged,
			HighestSeen:  s.HighestSeen,
			Refused:      s.Refused,
			Expires:      s.Expires,
		})
	}
	for _, o := range m.Outcomes {
		out.Outcomes = append(out.Outcomes, &peerpb.KeptOutcome{
			RequestId: encodeRequestID(o.RequestID),
			Service:   string(o.Service),
			Started:   o.Started,
			Done:      o.Done,
			Answer:    encodeAnswer(o.Answer),

			Fingerprint: uint64(o.Fingerprint),
		})
	}
	return out
}

func encodeDigest(m message.Digest) *peerpb.Digest {
	out := &peerpb.Digest{
		Member:         encodeMember(m.Member),
		Sequence:       m.Sequence,
		LatestRevision: uint64(m.LatestRevision),
		Convictions:    m.BlocksHash,
		Known:          m.KnownHosts,
	}
	if m.Holders.View != 0 || len(m.Holders.Bits) > 0 {
		out.Holders = &peerpb.Holders{View: m.Holders.View, Bits: m.Holders.Bits}
	}
	for _, f := range m.InForce {
		out.InForce = append(out.InForce, &peerpb.InForce{
			Host: string(f.Host), Incarnation: uint64(f.Incarnation), Revision: uint64(f.Revision), AgeNanos: f.Age,
		})
	}
	for _, r := range m.Rumors {
		out.Rumors = append(out.Rumors, &peerpb.Rumor{Member: encodeMember(r.Member), Sequence: r.Sequence})
	}
	return out
}

func encodeMember(m model.Member) *peerpb.Member {
	return &peerpb.Member{
		Host:          string(m.Host),
		Incarnation:   uint64(m.Incarnation),
		FailureDomain: string(m.FailureDomain),
		CallerAddress: m.CallerAddress,
		PeerAddress:   m.PeerAddress,
		State:         string(m.State),
		Revision:      uint64(m.Revision),
		Weight:        int64(m.Weight),
		Load:          int64(m.Load),
	}
}

func encodeLogEntries(m message.LogEntries) *peerpb.LogEntries {
	out := &peerpb.LogEntries{
		Snapshot: m.Snapshot, SnapshotRevision: uint64(m.SnapshotRevision), Latest: uint64(m.Latest),
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &peerpb.LogEntry{
			Revision: uint64(e.Revision),
			Change:   string(e.Change),
			Operator: string(e.Operator),
			Base:     uint64(e.Base),
			Text:     e.Text,
			Accepted: int64(e.Accepted),
		})
	}
	return out
}

func encodeSuspicion(m message.Suspicion) *peerpb.Suspicion {
	return &peerpb.Suspicion{
		Service:       string(m.Service),
		Fingerprint:   uint64(m.Fingerprint),
		Upstream:      string(m.Upstream),
		Attempt:       encodeAttempt(m.Attempt),
		Alone:         m.RanAlone,
		TimeLeftNanos: m.TimeLeft,
		Convicted:     m.Blocked,
		TermNanos:     m.BlockDuration,
		Revision:      uint64(m.Revision),
	}
}
