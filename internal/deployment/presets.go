package deployment

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// searchPolicy returns the policy of a service that answers searches, whose
// requests may be repeated.
func searchPolicy(answerBy, deadline time.Duration, coverage model.Percent) model.Policy {
	policy := model.DefaultPolicy()
	policy.AnswerBy = answerBy
	policy.Deadline = deadline
	policy.MinCoverage = coverage
	policy.Repeatable = true
	return policy
}

// orderPolicy returns the policy of a service whose requests run at most once:
// they are neither repeated nor hedged.
func orderPolicy(deadline time.Duration) model.Policy {
	policy := model.DefaultPolicy()
	policy.Deadline = deadline
	policy.Repeatable = false
	policy.HedgeBudget = 0
	return policy
}

// Upstream shapes of the user Versos Aranguiz, which the demo shares.
var (
	counterShape = Shape{
		Upstreams: 3, Slots: 2, MaxConnections: 25,
		ConnectTime: 6 * time.Millisecond, ServiceTime: 3 * time.Millisecond,
	}
	printRoomShape = Shape{
		Upstreams: 7, Slots: 3, MaxConnections: 110,
		ConnectTime: time.Millisecond, ServiceTime: 10 * time.Millisecond,
	}
)

// Demo returns the deployment of the demo command.
func Demo() Deployment {
	return Deployment{
		User:           "aranguiz",
		FailureDomains: []model.FailureDomain{"santiago-1", "santiago-2", "santiago-3"},
		Groups: []Group{
			{
				Name: "counter", Services: 10,
				Shape:  counterShape,
				Policy: searchPolicy(80*time.Millisecond, 500*time.Millisecond, 90),
			},
			{
				Name: "print-room", Services: 1,
				Shape:  printRoomShape,
				Policy: orderPolicy(2 * time.Second),
			},
		},
	}
}

// Aranguiz returns the deployment of the user Versos Aranguiz e Hijos at its
// present size.
func Aranguiz() Deployment {
	supplier := printRoomShape
	supplier.Upstreams = 3
	search := searchPolicy(80*time.Millisecond, 200*time.Millisecond, 90)
	// Tail latency has priority for this user, so searches do not wait for a canary.
	search.NoCanary = true
	return Deployment{
		User:           "aranguiz",
		FailureDomains: []model.FailureDomain{"santiago-1", "santiago-2", "santiago-3"},
		Delay:          500 * time.Microsecond,
		Groups: []Group{
			{Name: "counter", Services: 10, Shape: counterShape, Policy: search},
			{Name: "card-stock", Services: 15, Shape: counterShape, Policy: search},
			{Name: "print-room", Services: 1, Shape: printRoomShape, Policy: orderPolicy(2 * time.Second)},
			{Name: "supplier", Services: 1, Shape: supplier, Policy: orderPolicy(2 * time.Second)},
		},
	}
}

// Hinokuni returns the deployment of the user Hinokuni Care Match at its present
// size.
func Hinokuni() Deployment {
	small := Shape{
		Upstreams: 3, Slots: 3, MaxConnections: 30,
		ConnectTime: 6 * time.Millisecond, ServiceTime: 3 * time.Millisecond,
	}
	profile := Shape{
		Upstreams: 15, Slots: 3, MaxConnections: 40,
		ConnectTime: time.Millisecond, ServiceTime: 3 * time.Millisecond,
	}
	inquiry := profile
	inquiry.Upstreams = 7
	inquiry.ServiceTime = 10 * time.Millisecond
	// Coverage has priority over latency for this user: there is no early answer,
	// and only complete answers are sent before the deadline.
	search := searchPolicy(0, 500*time.Millisecond, 95)
	return Deployment{
		User:           "hinokuni",
		FailureDomains: []model.FailureDomain{"kyushu-1", "kyushu-2", "kyushu-3"},
		Delay:          500 * time.Microsecond,
		Groups: []Group{
			{Name: "vacancy-finder", Services: 10, Shape: small, Policy: search},
			{Name: "franchise-desk", Services: 15, Shape: small, Policy: search},
			{Name: "home-profile", Services: 1, Shape: profile, Policy: search},
			{Name: "inquiry-book", Services: 1, Shape: inquiry, Policy: orderPolicy(2 * time.Second)},
		},
	}
}

// ByName returns the deployment with a name, and false if there is none.
func ByName(name string) (Deployment, bool) {
	switch name {
	case "demo":
		return Demo(), true
	case "aranguiz":
		return Aranguiz(), true
	case "hinokuni":
		return Hinokuni(), true
	default:
		return Deployment{}, false
	}
}
