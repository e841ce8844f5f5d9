// Package model defines the domain types that all other packages share:
// identifiers, the configuration, index snapshots, coverage and answers. It
// contains no logic beyond formatting, parsing, validation and small pure
// helpers, and imports no other package of the project.
package model
