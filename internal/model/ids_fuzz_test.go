package model

import "testing"

// FuzzParseRequestID checks that every text either is rejected with an *IDError or
// yields an identifier that survives formatting and parsing unchanged.
func FuzzParseRequestID(f *testing.F) {
	for _, text := range []string{
		"host-1-1-16afynmlukh.3", "a-b-c-0-0.1", "", ".", "-1-1.1", "h-1-1.0", "h-1-1.-1", "h--1.1", "h-1-1.18446744073709551616",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseRequestID(text)
		if err != nil {
			if _, ok := err.(*IDError); !ok {
				t.Fatalf("%q: error is not an *IDError: %v", text, err)
			}
			return
		}
		reparsed, err := ParseRequestID(id.String())
		if err != nil || reparsed != id {
			t.Fatalf("%q was parsed as %v, which was parsed as %v: %v", text, id, reparsed, err)
		}
	})
}
