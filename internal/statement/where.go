package statement

import (
	"strconv"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Comparison is a comparison operator.
type Comparison string

// The comparison operators.
const (
	Equal    Comparison = "="
	NotEqual Comparison = "!="
	Less     Comparison = "<"
	Greater  Comparison = ">"
	Like     Comparison = "like"
)

// Capture implements participle.Capture.
func (o *Comparison) Capture(words []string) error {
	*o = Comparison(strings.ToLower(words[0]))
	return nil
}

// Select returns the rows of a table that meet the conditions; a nil Where selects
// all rows. A condition on an unknown column is a problem.
func (w *Where) Select(table model.Table) (model.Table, *Problem) {
	if w == nil {
		return table, nil
	}
	selected := model.Table{Columns: table.Columns, Rows: [][]string{}}
	columns, problem := w.columns(table.Columns)
	if problem != nil {
		return selected, problem
	}
	for _, row := range table.Rows {
		if w.matches(row, columns) {
			selected.Rows = append(selected.Rows, row)
		}
	}
	return selected, nil
}

// columns returns the index of each condition's column, or a problem for an unknown
// one.
func (w *Where) columns(names []string) ([]int, *Problem) {
	var indexes []int
	for _, condition := range w.Conditions {
		index := columnIndex(names, string(condition.Column))
		if index < 0 {
			return nil, &Problem{
				Rule:     RuleUnknown,
				Position: position(condition.Pos),
				Found:    strconv.Quote(string(condition.Column)),
				Expected: "one of the columns " + strings.Join(names, ", "),
			}
		}
		indexes = append(indexes, index)
	}
	return indexes, nil
}

// columnIndex returns the index of a column, or -1. Case is ignored.
func columnIndex(names []string, column string) int {
	for i, name := range names {
		if strings.EqualFold(name, column) {
			return i
		}
	}
	return -1
}

// matches reports whether a row meets all conditions.
func (w *Where) matches(row []string, columns []int) bool {
	for i, condition := range w.Conditions {
		if !condition.matches(row[columns[i]]) {
			return false
		}
	}
	return true
}

// matches reports whether a cell meets the condition. Like compares with a pattern.
func (c *Condition) matches(cell string) bool {
	value := string(c.Value)
	switch c.Comparison {
	case Equal:
		return compare(cell, value) == 0
	case NotEqual:
		return compare(cell, value) != 0
	case Less:
		return compare(cell, value) < 0
	case Greater:
		return compare(cell, value) > 0
	default:
		return Pattern(value).Match(cell)
	}
}

// compare compares two cells as quantities if both are quantities, otherwise as
// strings. It returns -1, 0 or 1.
func compare(a, b string) int {
	x, aIsQuantity := quantity(a)
	y, bIsQuantity := quantity(b)
	if !aIsQuantity || !bIsQuantity {
		return strings.Compare(a, b)
	}
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}

// quantity parses a number, a percentage or a duration, which is converted to
// seconds.
func quantity(cell string) (float64, bool) {
	if number, err := strconv.ParseFloat(strings.TrimSuffix(cell, "%"), 64); err == nil {
		return number, true
	}
	if duration, err := time.ParseDuration(cell); err == nil {
		return duration.Seconds(), true
	}
	return 0, false
}
