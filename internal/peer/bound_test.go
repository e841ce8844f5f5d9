package peer

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/bounded"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// unbounded are the fields that are only compared or that identify something.
var unbounded = map[string]bool{
	"Observed": true, "Index": true, "Expires": true, "Accepted": true, "HeaderBytes": true, "BodyBytes": true,
}

// fill sets all signed and floating-point numbers in a value to an extreme one. Slices get one
// element, and pointers a value.
func fill(v reflect.Value, integer int64, float float64) {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		v.SetInt(integer)
	case reflect.Float64:
		v.SetFloat(float)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), integer, float)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), integer, float)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), integer, float)
		}
	}
}

// findUnbounded returns the path of a number out of bounds, or nothing.
func findUnbounded(v reflect.Value, path string) string {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		if n := v.Int(); n > int64(bounded.MaxDuration) || n < -int64(bounded.MaxDuration) {
			return fmt.Sprintf("%s = %d", path, n)
		}
	case reflect.Float64:
		if n := v.Float(); !(math.Abs(n) <= bounded.MaxRate) {
			return fmt.Sprintf("%s = %g", path, n)
		}
	case reflect.Pointer, reflect.Interface:
		return findUnbounded(v.Elem(), path)
	case reflect.Slice:
		for i := range v.Len() {
			if found := findUnbounded(v.Index(i), path); found != "" {
				return found
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; !unbounded[name] {
				if found := findUnbounded(v.Field(i), path+"."+name); found != "" {
					return found
				}
			}
		}
	}
	return ""
}

// TestHugeNumberOfNodeEndsNode guards against a number in a message of another node, such as a rate
// limit that it has taken from an upstream, that ends the process of each node that receives it.
func TestHugeNumberOfNodeEndsNode(t *testing.T) {
	for _, m := range []message.Message{
		message.Dispatch{},
		message.DispatchResult{},
		message.IndexReport{},
		message.OrderForward{},
		message.OrderOutcome{},
		message.SessionHandover{},
		message.Digest{},
		message.LogEntries{},
		message.Suspicion{},
		message.RegistrySubscribe{},
		message.RegistryUpdate{},
		message.Subquery{},
		message.SubqueryReport{},
		message.RateReports{},
	} {
		for _, integer := range []int64{math.MaxInt64, math.MinInt64} {
			for _, float := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64} {
				filled := reflect.New(reflect.TypeOf(m)).Elem()
				fill(filled, integer, float)
				if found := findUnbounded(reflect.ValueOf(bound(filled.Interface().(message.Message))), fmt.Sprintf("%T", m)); found != "" {
					t.Error(found)
				}
			}
		}
	}
}

// TestAbsentAgeStaysAbsent checks that a negative age, which means that the sender lacks the part,
// is not taken for a current one.
func TestAbsentAgeStaysAbsent(t *testing.T) {
	m := bound(message.RegistryUpdate{RoutesAge: -1, UpstreamsAge: math.MinInt64, MembersAge: int64(time.Second)}).(message.RegistryUpdate)
	if m.RoutesAge >= 0 || m.UpstreamsAge >= 0 || m.MembersAge != int64(time.Second) {
		t.Errorf("got %+v", m)
	}
	table := model.RouteTable{Routes: []model.Route{{TopRecords: -1, MaxAttempts: 0}}}
	table.Bound()
	if r := table.Routes[0]; r.TopRecords != 0 || r.MaxAttempts != 1 {
		t.Errorf("got %+v", r)
	}
}
