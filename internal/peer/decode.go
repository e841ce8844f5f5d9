package peer

import (
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer/peerpb"
)

// decode converts a message from its wire form. It returns *MessageError for a type
// that this build does not define.
func decode(wire *peerpb.Message) (message.Message, error) {
	switch m := wire.GetBody().(type) {
	case *peerpb.Message_Dispatch:
		return decodeDispatch(m.Dispatch), nil
	case *peerpb.Message_Cancel:
		return message.Cancel{Attempt: decodeAttempt(m.Cancel.GetAttempt())}, nil
	case *peerpb.Message_DispatchResult:
		return decodeDispatchResult(m.DispatchResult), nil
	case *peerpb.Message_IndexReport:
		return message.IndexReport{Report: decodeIndexReport(m.IndexReport)}, nil
	case *peerpb.Message_IndexInterest:
		return message.IndexInterest{
			Services: decodeStrings[model.ServiceName](m.IndexInterest.GetServices()),
		}, nil
	case *peerpb.Message_OrderForward:
		return decodeOrderForward(m.OrderForward), nil
	case *peerpb.Message_OrderOutcome:
		return message.OrderOutcome{
			Call:   model.CallID(m.OrderOutcome.GetCall()),
			Answer: decodeAnswer(m.OrderOutcome.GetAnswer()),
		}, nil
	case *peerpb.Message_SessionHandover:
		return decodeSessionHandover(m.SessionHandover), nil
	case *peerpb.Message_HandoverAck:
		return message.HandoverAck{
			Part:        m.HandoverAck.GetPart(),
			From:        model.HostID(m.HandoverAck.GetFrom()),
			Incarnation: model.Incarnation(m.HandoverAck.GetIncarnation()),
			Attempt:     m.HandoverAck.GetAttempt(),
		}, nil
	case *peerpb.Message_SessionMoved:
		return message.SessionMoved{
			From:        model.HostID(m.SessionMoved.GetFrom()),
			Incarnation: model.Incarnation(m.SessionMoved.GetIncarnation()),
			To:          model.HostID(m.SessionMoved.GetTo()),
			Generation:  m.SessionMoved.GetGeneration(),
			Attempt:     m.SessionMoved.GetAttempt(),
		}, nil
	case *peerpb.Message_Digest:
		return decodeDigest(m.Digest), nil
	case *peerpb.Message_LogPull:
		return message.LogPull{After: model.Revision(m.LogPull.GetAfter())}, nil
	case *peerpb.Message_LogEntries:
		return decodeLogEntries(m.LogEntries), nil
	case *peerpb.Message_Follow:
		return message.RegistrySubscribe{
			Address:       m.Follow.GetAddress(),
			RoutesVersion: model.Revision(m.Follow.GetRoutes()),
			UpstreamsHash: m.Follow.GetUpstreamsSum(),
			MembersHash:   m.Follow.GetMembersSum(),
			Observations:  decodeObservations(m.Follow.GetObservations()),
			Era:           m.Follow.GetEra(),
		}, nil
	case *peerpb.Message_Beliefs:
		return decodeRegistryUpdate(m.Beliefs)
	case *peerpb.Message_Subquery:
		return decodeSubquery(m.Subquery), nil
	case *peerpb.Message_SubqueryReport:
		return decodeSubqueryReport(m.SubqueryReport)
	case *peerpb.Message_RateReports:
		return decodeRateReports(m.RateReports), nil
	case *peerpb.Message_SubqueryCancel:
		return message.SubqueryCancel{Number: m.SubqueryCancel.GetNumber(), RequestID: m.SubqueryCancel.GetRequestId()}, nil
	case *peerpb.Message_Suspicion:
		return decodeSuspicion(m.Suspicion), nil
	case *peerpb.Message_Pardon:
		return message.Unblock{
			Service:     model.ServiceName(m.Pardon.GetService()),
			Fingerprint: model.Fingerprint(m.Pardon.GetFingerprint()),
		}, nil
	default:
		return nil, &MessageError{Type: fmt.Sprintf("%T", m)}
	}
}

func decodeAttempt(id *peerpb.Identity) model.AttemptID {
	return model.AttemptID{
		Host: model.HostID(id.GetHost()), Incarnation: model.Incarnation(id.GetIncarnation()), Number: id.GetNumber(),
	}
}

func decodeRequestID(id *peerpb.RequestID) model.RequestID {
	return model.RequestID{Session: model.SessionID(decodeAttempt(id.GetSession())), Sequence: id.GetSequence()}
}

// decodeStrings converts a slice of strings to a slice of a string type.
func decodeStrings[S ~string](values []string) []S {
	if len(values) == 0 {
		return nil
	}
	out := make([]S, len(values))
	for i, v := range values {
		out[i] = S(v)
	}
	return out
}

// decodeRows converts byte slices to rows without copying their contents.
func decodeRows(rows [][]byte) []model.Row {
	if len(rows) == 0 {
		return nil
	}
	out := make([]model.Row, len(rows))
	for i, row := range rows {
		out[i] = row
	}
	return out
}

func decodeDispatch(m *peerpb.Dispatch) message.Dispatch {
	return message.Dispatch{
		Attempt:               decodeAttempt(m.GetAttempt()),
		Upstream:              model.UpstreamID(m.GetUpstream()),
		Kind:                  message.Kind(m.GetKind()),
		RequestID:             decodeRequestID(m.GetRequestId()),
		Version:               model.Version(m.GetVersion()),
		Shards:                decodeStrings[model.ShardID](m.GetShards()),
		Body:                  m.GetBody(),
		TimeLeft:              m.GetTimeLeftNanos(),
		MaxQueueWait:          m.GetMaxQueueWaitNanos(),
		User:                  model.UserID(m.GetUser()),
		Fingerprint:           model.Fingerprint(m.GetFingerprint()),
		Isolate:               m.GetIsolate(),
		Hedge:                 m.GetHedge(),
		Repeatable:            m.GetRepeatable(),
		DispatcherIncarnation: model.Incarnation(m.GetLife()),
		Priority:              m.GetPriority(),
	}
}

func decodeDispatchResult(m *peerpb.DispatchResult) message.DispatchResult {
	return message.DispatchResult{
		Attempt:    decodeAttempt(m.GetAttempt()),
		Upstream:   model.UpstreamID(m.GetUpstream()),
		Status:     message.DispatchStatus(m.GetStatus()),
		Reason:     model.Code(m.GetReason()),
		Version:    model.Version(m.GetVersion()),
		Rows:       decodeRows(m.GetRows()),
		RowShards:  decodeStrings[model.ShardID](m.GetHeld()),
		RetryAfter: m.GetRetryAfterNanos(),
		FreeSlots:  int(m.GetFreeSlots()),
		Queued:     int(m.GetQueued()),
		Crash:      m.GetCrash(),
		RanAlone:   m.GetAlone(),
	}
}

func decodeIndexReport(r *peerpb.IndexReport) model.IndexReport {
	out := model.IndexReport{
		Upstream:  model.UpstreamID(r.GetUpstream()),
		Observed:  model.Instant(r.GetObserved()),
		Draining:  r.GetDraining(),
		Reachable: r.GetReachable(),
		FreeSlots: int(r.GetFreeSlots()),
		Queued:    int(r.GetQueued()),
		Limit:     int(r.GetLimit()),

		ReportedInFlight: int(r.GetReportedInFlight()),
		ReportedAge:      time.Duration(r.GetReportedAgeNanos()),
	}
	for _, h := range r.GetHoldings() {
		holding := model.Holding{
			Version: model.Version(h.GetVersion()), HeldShards: decodeStrings[model.ShardID](h.GetHolds()),
		}
		for _, s := range h.GetShards() {
			holding.Shards = append(holding.Shards, model.Shard{
				ID: model.ShardID(s.GetId()), Low: s.GetLow(), High: s.GetHigh(),
			})
		}
		out.Holdings = append(out.Holdings, holding)
	}
	return out
}

func decodeOrderForward(m *peerpb.OrderForward) message.OrderForward {
	return message.OrderForward{
		Call:         model.CallID(m.GetCall()),
		RequestID:    decodeRequestID(m.GetRequestId()),
		Service:      model.ServiceName(m.GetService()),
		Body:         m.GetBody(),
		TimeLeft:     m.GetTimeLeftNanos(),
		Acknowledged: m.GetAcknowledged(),
		Hops:         m.GetHops(),
	}
}

func decodeAnswer(a *peerpb.Answer) model.Answer {
	out := model.Answer{
		RequestID:  decodeRequestID(a.GetRequestId()),
		Outcome:    model.Outcome(a.GetOutcome()),
		Snapshot:   model.Version(a.GetSnapshot()),
		Results:    decodeRows(a.GetResults()),
		OrderReply: a.GetOrderReply(),
		RetryAfter: time.Duration(a.GetRetryAfterNanos()),
		Attempts:   int(a.GetAttempts()),
		Planned:    int(a.GetPlanned()),
	}
	if c := a.GetCoverage(); c != nil {
		out.Coverage = &model.Coverage{
			Searched: int(c.GetSearched()), Total: int(c.GetTotal()), Missing: c.GetMissing(),
		}
	}
	if f := a.GetFailure(); f != nil {
		out.Failure = &model.Failure{Code: model.Code(f.GetCode()), Message: f.GetMessage()}
	}
	return out
}

func decodeSessionHandover(m *peerpb.SessionHandover) message.SessionHandover {
	out := message.SessionHandover{
		From:                 model.HostID(m.GetFrom()),
		Incarnation:          model.Incarnation(m.GetIncarnation()),
		Part:                 m.GetPart(),
		Parts:                m.GetParts(),
		Attempt:              m.GetAttempt(),
		SuccessorIncarnation: model.Incarnation(m.GetLife()),
	}
	for _, h := range m.GetHomes() {
		out.Homes = append(out.Homes, message.HandoverHome{
			Host:        model.HostID(h.GetHost()),
			Incarnation: model.Incarnation(h.GetIncarnation()),
			Generation:  h.GetGeneration(),
			Issued:      h.GetIssued(),
			Closed:      h.GetClosed(),
			Aged:        h.GetAged(),
			Expired:     h.GetExpired(),
		})
	}
	for _, s := range m.GetSessions() {
		out.Sessions = append(out.Sessions, message.HandoverSession{
			Session:      model.SessionID(decodeAttempt(s.GetSession())),
			Acknowledged: s.GetAcknowledged(),
			HighestSeen:  s.GetHighestSeen(),
			Refused:      s.GetRefused(),
			Expires:      s.GetExpires(),
		})
	}
	for _, o := range m.GetOutcomes() {
		out.Outcomes = append(out.Outcomes, message.OutcomeRecord{
			RequestID: decodeRequestID(o.GetRequestId()),
			Service:   model.ServiceName(o.GetService()),
			Started:   o.GetStarted(),
			Done:      o.GetDone(),

			Fingerprint: model.Fingerprint(o.GetFingerprint()),
			Answer:      decodeAnswer(o.GetAnswer()),
		})
	}
	return out
}

func decodeDigest(m *peerpb.Digest) message.Digest {
	out := message.Digest{
		Member:         decodeMember(m.GetMember()),
		Sequence:       m.GetSequence(),
		LatestRevision: model.Revision(m.GetLatestRevision()),
		BlocksHash:     m.GetConvictions(),
		KnownHosts:     m.GetKnown(),
	}
	if m.GetHolders() != nil {
		out.Holders = message.Holders{View: m.GetHolders().GetView(), Bits: m.GetHolders().GetBits()}
	}
	for _, f := range m.GetInForce() {
		out.InForce = append(out.InForce, message.InForce{
			Host:        model.HostID(f.GetHost()),
			Incarnation: model.Incarnation(f.GetIncarnation()),
			Revision:    model.Revision(f.GetRevision()),
			Age:         f.GetAgeNanos(),
		})
	}
	for _, r := range m.GetRumors() {
		out.Rumors = append(out.Rumors, message.Rumor{Member: decodeMember(r.GetMember()), Sequence: r.GetSequence()})
	}
	return out
}

func decodeMember(m *peerpb.Member) model.Member {
	return model.Member{
		Host:          model.HostID(m.GetHost()),
		Incarnation:   model.Incarnation(m.GetIncarnation()),
		FailureDomain: model.FailureDomain(m.GetFailureDomain()),
		CallerAddress: m.GetCallerAddress(),
		PeerAddress:   m.GetPeerAddress(),
		State:         model.MemberState(m.GetState()),
		Weight:        int(m.GetWeight()),
		Load:          int(m.GetLoad()),
		Revision:      model.Revision(m.GetRevision()),
	}
}

func decodeLogEntries(m *peerpb.LogEntries) message.LogEntries {
	out := message.LogEntries{
		Snapshot:         m.GetSnapshot(),
		SnapshotRevision: model.Revision(m.GetSnapshotRevision()),
		Latest:           model.Revision(m.GetLatest()),
	}
	for _, e := range m.GetEntries() {
		out.Entries = append(out.Entries, model.LogEntry{
			Revision: model.Revision(e.GetRevision()),
			Change:   model.ChangeID(e.GetChange()),
			Operator: model.OperatorName(e.GetOperator()),
			Base:     model.Revision(e.GetBase()),
			Text:     e.GetText(),
			Accepted: model.Instant(e.GetAccepted()),
		})
	}
	return out
}

func decodeSuspicion(m *peerpb.Suspicion) message.Suspicion {
	return message.Suspicion{
		Service:       model.ServiceName(m.GetService()),
		Fingerprint:   model.Fingerprint(m.GetFingerprint()),
		Upstream:      model.UpstreamID(m.GetUpstream()),
		Attempt:       decodeAttempt(m.GetAttempt()),
		RanAlone:      m.GetAlone(),
		TimeLeft:      m.GetTimeLeftNanos(),
		Blocked:       m.GetConvicted(),
		BlockDuration: m.GetTermNanos(),
		Revision:      model.Revision(m.GetRevision()),
	}
}
