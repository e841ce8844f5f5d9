package show

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// outcomeNotKnown is the outcome of a change that this node has no record of.
const outcomeNotKnown = "not_known"

// ageNever is shown as the age of information that was never received.
const ageNever = "never"

// inForceTable lists the revision that is in force on each host. If the statement names
// a service, the table also shows whether the service's last change is in force there.
func (a *Answerer) inForceTable(r *request, show *statement.Show) (model.Table, *model.Failure) {
	table := model.Table{
		Columns: []string{"host", "failure_domain", "state", "revision", "lag", "age"},
		Rows:    [][]string{},
	}
	var last model.Revision
	if show.Service != nil {
		service := model.ServiceName(*show.Service)
		if r.visible.Service(service) == nil {
			return table, model.Failf(model.CodeUnknownService, "no service %s", service)
		}
		last = a.lastChangeOf(service)
		table.Columns = append(table.Columns, "service_revision", "in_force")
	}
	for _, host := range a.deps.Log.HostRevisions(r.Now) {
		row := []string{
			string(host.Host), string(host.FailureDomain), string(host.State),
			formatRevision(host.Revision), formatRevision(host.Lag), formatAge(host.Age),
		}
		if show.Service != nil {
			row = append(row, formatLastChange(last, r.Config.Revision), formatBool(host.Revision >= last && host.Age >= 0))
		}
		table.Rows = append(table.Rows, row)
	}
	return table, nil
}

// lastChangeOf returns the newest revision in the log that changed a service, or zero
// if the log has none.
func (a *Answerer) lastChangeOf(service model.ServiceName) model.Revision {
	entries := a.deps.Log.History()
	for i := len(entries) - 1; i >= 0; i-- {
		script, failure := statement.Parse(entries[i].Text)
		if failure != nil {
			continue
		}
		for _, change := range script.Changes {
			if statement.MayAffect(change, service) {
				return entries[i].Revision
			}
		}
	}
	return 0
}

// formatLastChange formats the revision of a service's last change. It returns "older"
// if the change is no longer in the log.
func formatLastChange(last, inForce model.Revision) string {
	if last == 0 && inForce > 0 {
		return "older"
	}
	return formatRevision(last)
}

// changeTable shows the outcome of one change.
func (a *Answerer) changeTable(show *statement.Show) (model.Table, *model.Failure) {
	table := model.Table{
		Columns: []string{"change", "outcome", "revision", "operator", "accepted", "reason"},
		Rows:    [][]string{},
	}
	if show.Name == nil {
		return table, model.Failf(model.CodeInvalid, "show change needs the identifier of a change")
	}
	id := string(*show.Name)
	status, known := a.deps.Log.Change(model.ChangeID(id))
	if !known {
		reason := "this node knows of no such change; it may be under way on the node that it was sent to"
		table.Rows = append(table.Rows, []string{id, outcomeNotKnown, "", "", "", reason})
		return table, nil
	}
	row := []string{id, string(status.Outcome), "", string(status.Operator), "", ""}
	if status.Outcome == effect.Accepted {
		row[2] = formatRevision(status.Revision)
		row[4] = statement.Time(status.Accepted).String()
	}
	if status.Failure != nil {
		row[5] = status.Failure.Error()
	}
	table.Rows = append(table.Rows, row)
	return table, nil
}

// historyTable lists the changes in the log, newest first. An operator that is limited
// to a user sees only the changes of that user's operators.
func (a *Answerer) historyTable(r *request) model.Table {
	table := model.Table{
		Columns: []string{"revision", "change", "operator", "accepted", "statements"},
		Rows:    [][]string{},
	}
	entries := a.deps.Log.History()
	for i := len(entries) - 1; i >= 0; i-- {
		entry := entries[i]
		hidden := r.user != "" && statement.UserOf(r.Config, entry.Operator) != r.user
		if entry.IsFence() || hidden {
			continue
		}
		table.Rows = append(table.Rows, []string{
			formatRevision(entry.Revision), string(entry.Change), string(entry.Operator),
			statement.Time(entry.Accepted).String(), statement.Summary(entry.Text),
		})
	}
	return table
}

// formatRevision formats a revision as a decimal number.
func formatRevision(r model.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// formatAge formats an age, rounded to milliseconds. A negative age means that the
// information was never received.
func formatAge(d time.Duration) string {
	if d < 0 {
		return ageNever
	}
	return d.Round(time.Millisecond).String()
}

// formatBool formats a boolean as in statements.
func formatBool(b bool) string { return statement.YesNo(b).String() }
