// Package virtual simulates a cluster of reducers in virtual time, with fake
// upstreams, a fake network between the nodes and a stand-in store. The seed
// determines a run completely. Property tests and experiments use it to exercise
// the reducers through their events and effects; hosts, disks and kernels are not
// modelled.
//
// A World is not safe for concurrent use and is driven from one goroutine:
//
//	w := virtual.New(options)
//	w.Search("host-1", event.Search{...}, func(answer model.Answer) { ... })
//	w.At(w.Now().Add(time.Second), func() { w.Kill("host-2") })
//	w.RunFor(10 * time.Second)
package virtual
