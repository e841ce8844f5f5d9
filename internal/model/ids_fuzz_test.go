package model

import "testing"

// FuzzParseRequestID checks that every text is either refused with a typed error
// or comes back as it was read.
func FuzzParseRequestID(f *testing.F) {
	for _, text := range []string{
		"host-1-1-16afynmlukh.3", "a-b-c-0-0.1", "", ".", "-1-1.1", "h-1-1.0", "h-1-1.-1", "h--1.1", "h-1-1.18446744073709551616",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseRequestID(text)
		if err != nil {
			if _, typed := err.(*IDError); !typed {
				t.Fatalf("%q: untyped error %v", text, err)
			}
			return
		}
		again, err := ParseRequestID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q was read as %v and then as %v: %v", text, id, again, err)
		}
	})
}
