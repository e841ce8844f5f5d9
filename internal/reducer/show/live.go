package show

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// members lists the nodes as this one sees them.
func (a *Answerer) members(q *asked, pattern statement.Pattern) model.Table {
	table := model.Table{
		Columns: []string{"host", "failure_domain", "state", "incarnation", "caller_address", "peer_address", "heard"},
		Rows:    [][]string{},
	}
	for _, host := range a.parts.Log.InForceView(q.Now) {
		if !pattern.Match(string(host.Host)) {
			continue
		}
		member, _ := q.View.Member(host.Host)
		table.Rows = append(table.Rows, []string{
			string(host.Host), string(host.FailureDomain), string(host.State),
			strconv.FormatUint(uint64(member.Incarnation), 36),
			member.CallerAddress, member.PeerAddress, age(host.Age),
		})
	}
	return table
}

// sessions counts the callers' sessions by the home that they were opened at.
func (a *Answerer) sessions(q *asked) model.Table {
	table := model.Table{
		Columns: []string{"home", "incarnation", "role", "sessions", "orders", "running", "issued", "closed", "expired"},
		Rows:    [][]string{},
	}
	for _, home := range a.parts.Sessions.Describe(q.Now).Homes {
		table.Rows = append(table.Rows, []string{
			string(home.Host), strconv.FormatUint(uint64(home.Incarnation), 36), home.Role,
			strconv.Itoa(home.Sessions), strconv.Itoa(home.Orders), strconv.Itoa(home.Running),
			strconv.FormatUint(home.Issued, 10), strconv.FormatUint(home.Closed, 10), strconv.FormatUint(home.Expired, 10),
		})
	}
	return table
}

// convictions lists the contents that are refused: by statement of an operator,
// or on the nodes' own evidence.
func (a *Answerer) convictions(q *asked, pattern statement.Pattern) model.Table {
	table := statement.ConvictionTable(q.visible, pattern)
	table.Columns = append(table.Columns, "source", "crashes")
	for i := range table.Rows {
		table.Rows[i] = append(table.Rows[i], "operator", "")
	}
	for _, conviction := range a.parts.Quarantine.Describe(q.Now).Blocks {
		if q.visible.Service(conviction.Service) == nil || !pattern.Match(string(conviction.Service)) {
			continue
		}
		until := statement.Time(q.Now.Add(conviction.Left)).String()
		table.Rows = append(table.Rows, []string{
			string(conviction.Service), conviction.Fingerprint, until, "evidence", strconv.Itoa(conviction.Crashes),
		})
	}
	return table
}

// budgets lists the hedges and retries that this node may still make, with the
// recent latencies that hedges go by.
func (a *Answerer) budgets(q *asked, pattern statement.Pattern) model.Table {
	table := model.Table{
		Columns: []string{"service", "hedge_tokens", "hedges", "retry_tokens", "retries", "median", "p95"},
		Rows:    [][]string{},
	}
	for _, service := range a.parts.Coordinator.Describe(q.Context).Services {
		if q.visible.Service(service.Service) == nil || !pattern.Match(string(service.Service)) {
			continue
		}
		table.Rows = append(table.Rows, []string{
			string(service.Service),
			tokens(service.HedgeTokens), strconv.FormatUint(service.HedgesTaken, 10),
			tokens(service.RetryTokens), strconv.FormatUint(service.RetriesTaken, 10),
			latency(service.Median), latency(service.P95),
		})
	}
	return table
}

// tokens prints the content of a budget.
func tokens(n float64) string { return strconv.FormatFloat(n, 'f', 1, 64) }

// latency prints a latency; zero means that too few were observed.
func latency(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(10 * time.Microsecond).String()
}
