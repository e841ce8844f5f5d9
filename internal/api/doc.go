// Package api serves the callers' API and the administration API over HTTP with
// echo. Handlers validate the form of a request, pass it to the reducer as an event
// and wait for the reply.
package api
