package show

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// notKnown is the outcome of a change that this node has not heard of.
const notKnown = "not_known"

// never is the age of what was never heard.
const never = "never"

// inForce lists which revision is in force on which host. For a service, it
// tells whether the last change of the service is in force there.
func (a *Answerer) inForce(q *asked, show *statement.Show) (model.Table, *model.Failure) {
	table := model.Table{
		Columns: []string{"host", "failure_domain", "state", "revision", "lag", "age"},
		Rows:    [][]string{},
	}
	var last model.Revision
	if show.Service != nil {
		service := model.ServiceName(*show.Service)
		if q.visible.Service(service) == nil {
			return table, model.Failf(model.CodeUnknownService, "no service %s", service)
		}
		last = a.lastChange(service)
		table.Columns = append(table.Columns, "service_revision", "in_force")
	}
	for _, host := range a.parts.Log.InForceView(q.Now) {
		row := []string{
			string(host.Host), string(host.FailureDomain), string(host.State),
			revision(host.Revision), revision(host.Lag), age(host.Age),
		}
		if show.Service != nil {
			row = append(row, revisionOrOlder(last, q.Config.Revision), yesNo(host.Revision >= last && host.Age >= 0))
		}
		table.Rows = append(table.Rows, row)
	}
	return table, nil
}

// lastChange returns the newest kept revision that changed a service; zero means
// that none of the kept ones did.
func (a *Answerer) lastChange(service model.ServiceName) model.Revision {
	entries := a.parts.Log.History()
	for i := len(entries) - 1; i >= 0; i-- {
		script, failure := statement.Parse(entries[i].Text)
		if failure != nil {
			continue
		}
		for _, change := range script.Changes {
			if statement.Touches(change, service) {
				return entries[i].Revision
			}
		}
	}
	return 0
}

// revisionOrOlder names a service's last change; one that is no longer kept is
// older than the log.
func revisionOrOlder(last, inForce model.Revision) string {
	if last == 0 && inForce > 0 {
		return "older"
	}
	return revision(last)
}

// change tells what became of one change.
func (a *Answerer) change(show *statement.Show) (model.Table, *model.Failure) {
	table := model.Table{
		Columns: []string{"change", "outcome", "revision", "operator", "accepted", "reason"},
		Rows:    [][]string{},
	}
	if show.Name == nil {
		return table, model.Failf(model.CodeInvalid, "show change needs the identifier of a change")
	}
	id := string(*show.Name)
	status, known := a.parts.Log.Change(model.ChangeID(id))
	if !known {
		reason := "this node knows of no such change; it may be under way on the node that it was sent to"
		table.Rows = append(table.Rows, []string{id, notKnown, "", "", "", reason})
		return table, nil
	}
	row := []string{id, string(status.Outcome), "", string(status.Operator), "", ""}
	if status.Outcome == effect.Accepted {
		row[2] = revision(status.Revision)
		row[4] = statement.Time(status.Accepted).String()
	}
	if status.Failure != nil {
		row[5] = status.Failure.Error()
	}
	table.Rows = append(table.Rows, row)
	return table, nil
}

// history lists the kept changes, newest first. An operator that is limited to a
// user sees the changes of that user's operators.
func (a *Answerer) history(q *asked) model.Table {
	table := model.Table{
		Columns: []string{"revision", "change", "operator", "accepted", "statements"},
		Rows:    [][]string{},
	}
	entries := a.parts.Log.History()
	for i := len(entries) - 1; i >= 0; i-- {
		entry := entries[i]
		hidden := q.user != "" && statement.UserOf(q.Config, entry.Operator) != q.user
		if entry.IsFence() || hidden {
			continue
		}
		table.Rows = append(table.Rows, []string{
			revision(entry.Revision), string(entry.Change), string(entry.Operator),
			statement.Time(entry.Accepted).String(), statement.Summary(entry.Text),
		})
	}
	return table
}

// revision prints a revision.
func revision(r model.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// age prints how old a piece of knowledge is; a negative age means that it was
// never had.
func age(d time.Duration) string {
	if d < 0 {
		return never
	}
	return d.Round(time.Millisecond).String()
}

// yesNo prints a truth value.
func yesNo(b bool) string { return statement.YesNo(b).String() }
