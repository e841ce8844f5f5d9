package query

import (
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// prepareOrder checks an order. On success the order is admitted.
func (s *State) prepareOrder(ctx *step.Context, order Order) (*request, *refusal) {
	service := s.deps.Catalog.Service(ctx, order.Service)
	if service == nil {
		return nil, &refusal{failure: model.Failf(model.CodeUnknownService, "no service %.100q", order.Service)}
	}
	selected := []*model.Service{service}
	r := &request{
		kind:      message.KindOrder,
		call:      order.Call,
		requestID: order.RequestID,
		order:     order,
		body:      order.Body,
		startedAt: ctx.Now,
	}
	r.applyPolicies(selected, order.Timeout)
	r.answerBy = 0
	if refused := s.attachServices(ctx, r, selected); refused != nil {
		return nil, refused
	}
	r.tasks = []task{{replicas: s.deps.Catalog.Replicas(ctx, order.Service)}}
	r.unsettled = 1
	if refused := s.admit(ctx, selected); refused != nil {
		return nil, refused
	}
	return r, nil
}

// refuseOrder reports to the sink that an order was not started.
func (s *State) refuseOrder(ctx *step.Context, order Order, refused *refusal) {
	ctx.Count(metricRefused, string(refused.failure.Code))
	s.sink.OrderDone(ctx, order, refused.answer(order.RequestID))
}
