package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base32"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/api"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// maxReplySize is the maximum size of a reply of the administration API, in bytes.
const maxReplySize = 64 << 20

// ctlClient runs statements on one node.
type ctlClient struct {
	*adminClient
}

// run runs the statements of a text. If a change may have been sent but its reply is
// lost, run returns the outcome ChangeUnknown instead of an error.
func (c *ctlClient) run(ctx context.Context, text string, dryRun bool, change model.ChangeID) (api.StatementReply, error) {
	mayChange := mayChangeConfig(text)
	if mayChange && change == "" && !dryRun {
		change = newChangeID(time.Now())
	}
	body, err := json.Marshal(api.StatementBody{Text: text, DryRun: dryRun, Change: change})
	if err != nil {
		return api.StatementReply{}, fmt.Errorf("encode statements: %w", err)
	}
	reply, sent, err := c.post(ctx, body)
	if err != nil && sent && mayChange && !dryRun {
		failure := model.Failf(model.CodeUnavailable, "%v", err)
		return api.StatementReply{Outcome: effect.ChangeUnknown, Change: change, Error: failure}, nil
	}
	return reply, err
}

// post sends a body and decodes the reply. sent reports whether the node may have
// received the body.
func (c *ctlClient) post(ctx context.Context, body []byte) (reply api.StatementReply, sent bool, err error) {
	request, err := c.request(ctx, http.MethodPost, "/v1/admin/statements", bytes.NewReader(body))
	if err != nil {
		return reply, false, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return reply, !isDialError(err), fmt.Errorf("call %s: %w", c.base.Host, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return reply, true, fmt.Errorf("read reply from %s: %w", c.base.Host, err)
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return reply, true, fmt.Errorf("decode reply with status %d from %s: %w", response.StatusCode, c.base.Host, err)
	}
	if reply.Error != nil && reply.Outcome == effect.StatementOutcome(model.NotRun) {
		reply.Outcome = effect.NotAccepted
	}
	return reply, true, nil
}

// isDialError reports whether no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// mayChangeConfig reports whether a text may change the configuration. It returns true
// for a text that this version cannot parse, because a newer node may be able to.
func mayChangeConfig(text string) bool {
	script, failure := statement.Parse(text)
	return failure != nil || len(script.Changes) > 0
}

// changeIDRandomBytes is the number of random bytes in a change identifier.
const changeIDRandomBytes = 10

// newChangeID returns a random identifier that sorts by time, in milliseconds.
func newChangeID(now time.Time) model.ChangeID {
	var raw [6 + changeIDRandomBytes]byte
	var milliseconds [8]byte
	binary.BigEndian.PutUint64(milliseconds[:], uint64(now.UnixMilli()))
	copy(raw[:6], milliseconds[2:])
	_, _ = rand.Read(raw[6:])
	return model.ChangeID(base32.HexEncoding.WithPadding(base32.NoPadding).EncodeToString(raw[:]))
}
