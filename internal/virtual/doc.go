// Package virtual runs a few reducers under virtual time with fake upstreams, a
// fake network between them and a stand-in store. A run is determined by its
// seed. It serves property tests and experiments at the reducer's interfaces;
// it models no hosts, disks or kernels.
//
// A World is driven from one goroutine:
//
//	w := virtual.New(options)
//	w.Search("host-1", event.Search{...}, func(answer model.Answer) { ... })
//	w.At(w.Now().Add(time.Second), func() { w.Kill("host-2") })
//	w.RunFor(10 * time.Second)
package virtual
