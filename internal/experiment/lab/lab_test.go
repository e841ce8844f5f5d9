package lab

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// TestMain gives the property tests a fixed seed, so that runs are reproducible,
// and a small number of checks, because each check runs a whole cluster.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// smallSpec returns the description of a small cluster.
func smallSpec(seed uint64) Spec {
	return Spec{
		Seed: seed, Hosts: 3, Services: 2, Replicas: 3, Slots: 2, MaxConnections: 25,
		Policy:      "deadline 500ms coverage at least 100% repeat yes",
		ServiceTime: func(r *rand.Rand) time.Duration { return time.Duration(r.IntN(5)+1) * time.Millisecond },
	}
}

// TestLoadIsReproducible checks that two runs with the same seed give the same
// results, and that every search is answered and every answer is consistent.
func TestLoadIsReproducible(t *testing.T) {
	load := Load{Rate: 100, Warmup: time.Second, Duration: time.Second, Services: []string{"counter-*"}, Seed: 3}
	var results []*Result
	for range 2 {
		cluster, err := Start(smallSpec(3))
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, cluster.Run(load))
	}
	first := results[0]
	if first.Sent == 0 || first.Answered != first.Sent || first.Mixed+first.Foreign+first.WrongCoverage > 0 {
		t.Fatalf("got %+v, want every search answered and every answer consistent", first)
	}
	if first.Quantile(99) != results[1].Quantile(99) || first.Attempts != results[1].Attempts || first.Runs != results[1].Runs {
		t.Fatalf("two runs with the same seed differ: %+v and %+v", first, results[1])
	}
}
