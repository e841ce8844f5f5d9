package show

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// memberTable lists the nodes of the cluster in this node's view.
func (a *Answerer) memberTable(r *request, pattern statement.Pattern) model.Table {
	table := model.Table{
		Columns: []string{"host", "failure_domain", "state", "incarnation", "caller_address", "peer_address", "heard"},
		Rows:    [][]string{},
	}
	for _, host := range a.deps.Log.HostRevisions(r.Now) {
		if !pattern.Match(string(host.Host)) {
			continue
		}
		member, _ := r.View.Member(host.Host)
		table.Rows = append(table.Rows, []string{
			string(host.Host), string(host.FailureDomain), string(host.State),
			strconv.FormatUint(uint64(member.Incarnation), 36),
			member.CallerAddress, member.PeerAddress, formatAge(host.Age),
		})
	}
	return table
}

// sessionTable shows the numbers of callers' sessions and orders for each home, which is
// the host at which the sessions were opened.
func (a *Answerer) sessionTable(r *request) model.Table {
	table := model.Table{
		Columns: []string{"home", "incarnation", "role", "sessions", "orders", "running", "issued", "closed", "expired"},
		Rows:    [][]string{},
	}
	for _, home := range a.deps.Sessions.Describe(r.Now).Homes {
		table.Rows = append(table.Rows, []string{
			string(home.Host), strconv.FormatUint(uint64(home.Incarnation), 36), home.Role,
			strconv.Itoa(home.Sessions), strconv.Itoa(home.Orders), strconv.Itoa(home.Running),
			strconv.FormatUint(home.Issued, 10), strconv.FormatUint(home.Closed, 10), strconv.FormatUint(home.Expired, 10),
		})
	}
	return table
}

// blockTable lists the blocked contents: those that operators blocked by statement and
// those that the nodes blocked after upstream crashes.
func (a *Answerer) blockTable(r *request, pattern statement.Pattern) model.Table {
	table := statement.BlockTable(r.visible, pattern)
	table.Columns = append(table.Columns, "source", "crashes")
	for i := range table.Rows {
		table.Rows[i] = append(table.Rows[i], "operator", "")
	}
	for _, block := range a.deps.Quarantine.Describe(r.Now).Blocks {
		if r.visible.Service(block.Service) == nil || !pattern.Match(string(block.Service)) {
			continue
		}
		until := statement.Time(r.Now.Add(block.Left)).String()
		table.Rows = append(table.Rows, []string{
			string(block.Service), block.Fingerprint, until, "evidence", strconv.Itoa(block.Crashes),
		})
	}
	return table
}

// budgetTable lists the hedge and retry budgets of this node, with the recent latencies
// that hedge delays are based on.
func (a *Answerer) budgetTable(r *request, pattern statement.Pattern) model.Table {
	table := model.Table{
		Columns: []string{"service", "hedge_tokens", "hedges", "retry_tokens", "retries", "median", "p95"},
		Rows:    [][]string{},
	}
	for _, service := range a.deps.Coordinator.Describe(r.Context).Services {
		if r.visible.Service(service.Service) == nil || !pattern.Match(string(service.Service)) {
			continue
		}
		table.Rows = append(table.Rows, []string{
			string(service.Service),
			formatTokens(service.HedgeTokens), strconv.FormatUint(service.HedgesTaken, 10),
			formatTokens(service.RetryTokens), strconv.FormatUint(service.RetriesTaken, 10),
			formatLatency(service.Median), formatLatency(service.P95),
		})
	}
	return table
}

// formatTokens formats the number of tokens in a budget.
func formatTokens(n float64) string { return strconv.FormatFloat(n, 'f', 1, 64) }

// formatLatency formats a latency, rounded to 10 µs. It returns an empty string for
// zero, which means that too few latencies were observed.
func formatLatency(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(10 * time.Microsecond).String()
}
