package deployment

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// searchPolicy is the policy of a service that is searched.
func searchPolicy(answerBy, deadline time.Duration, coverage model.Percent) model.Policy {
	policy := model.DefaultPolicy()
	policy.AnswerBy = answerBy
	policy.Deadline = deadline
	policy.MinCoverage = coverage
	policy.Repeatable = true
	return policy
}

// orderPolicy is the policy of a service whose orders run at most once.
func orderPolicy(deadline time.Duration) model.Policy {
	policy := model.DefaultPolicy()
	policy.Deadline = deadline
	policy.Repeatable = false
	policy.HedgeBudget = 0
	return policy
}

// The shapes of Versos Aranguiz's upstreams.
var (
	counterShape = Shape{
		Upstreams: 3, Slots: 2, Connections: 25,
		ConnectTime: 6 * time.Millisecond, ServiceTime: 3 * time.Millisecond,
	}
	printRoomShape = Shape{
		Upstreams: 7, Slots: 3, Connections: 110,
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

// Aranguiz returns the services of Versos Aranguiz e Hijos at today's sizes.
func Aranguiz() Deployment {
	supplier := printRoomShape
	supplier.Upstreams = 3
	search := searchPolicy(80*time.Millisecond, 200*time.Millisecond, 90)
	// The tail weighs most here: a search does not wait for a canary.
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

// Hinokuni returns the services of Hinokuni Care Match at today's sizes.
func Hinokuni() Deployment {
	small := Shape{
		Upstreams: 3, Slots: 3, Connections: 30,
		ConnectTime: 6 * time.Millisecond, ServiceTime: 3 * time.Millisecond,
	}
	profile := Shape{
		Upstreams: 15, Slots: 3, Connections: 40,
		ConnectTime: time.Millisecond, ServiceTime: 3 * time.Millisecond,
	}
	inquiry := profile
	inquiry.Upstreams = 7
	inquiry.ServiceTime = 10 * time.Millisecond
	// Coverage goes before time: no early answer, and nothing but whole answers
	// before the deadline.
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

// ByName returns the named deployment, and false if there is none.
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
