// Package show answers operators' questions from what the parts of the reducer
// describe of themselves.
package show
