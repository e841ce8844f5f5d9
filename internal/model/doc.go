// Package model holds the nouns that every other package shares: identifiers,
// the configuration, index snapshots, coverage and answers. It has no behaviour
// beyond formatting, parsing and small pure helpers, and imports no other
// package of the project.
package model
