package members

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// step calls update with the view, after setting this instance's current state in it. It sends the messages that update
// returns, except the answer to request, which it returns to the caller.
//
// A statement about the log must still hold after the message that it answers was received, so Describe is called here
// and not at intervals.
func (m *Members) step(request member.Message, update func(now time.Time, v *member.View) []member.Message) (answer member.Message) {
	now := time.Now()
	self := m.Describe(now)
	m.mu.Lock()
	m.view.SetSelf(self)
	out := update(now, m.view)
	suspected := m.refresh(now)
	for _, o := range out {
		if o.Kind == member.Ack && o.To == request.From && o.Seq == request.Seq {
			answer = o
			continue
		}
		select {
		case m.outbox <- o:
		default:
			m.dropped++
		}
	}
	m.mu.Unlock()
	for _, a := range suspected {
		m.Peers.Drop(a)
	}
	return answer
}

func (m *Members) tick(context.Context) {
	m.step(member.Message{}, func(now time.Time, v *member.View) []member.Message { return v.Tick(now) })
}

// Serve handles a message from a peer and returns the answer. The answer has no kind if there is none at once.
func (m *Members) Serve(from ids.InstanceID, msg member.Message) (answer member.Message) {
	msg.From, msg.To = from, m.Self.Instance
	return m.step(msg, func(now time.Time, v *member.View) []member.Message { return v.Receive(now, msg) })
}

// ReportUnreachable reports that a request to a run failed, and probes the run at once.
func (m *Members) ReportUnreachable(w ids.WriterID) {
	m.step(member.Message{}, func(now time.Time, v *member.View) []member.Message {
		id := slot.InstanceOf(w)
		if m.peers[id].Writer != w {
			return nil
		}
		return v.ProbeNow(now, id)
	})
}

func (m *Members) sendAll(ctx context.Context) {
	for {
		select {
		case msg := <-m.outbox:
			m.send(ctx, msg)
		case <-ctx.Done():
			return
		}
	}
}

// send sends one message and handles its answer.
func (m *Members) send(ctx context.Context, msg member.Message) {
	to, ok := m.AddressOf(msg.To)
	if !ok {
		return
	}
	answer, err := m.call(ctx, to, msg)
	if err != nil && !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, context.DeadlineExceeded) {
		answer, err = m.call(ctx, to, msg) // the connection has ended, which says nothing about the peer's current run
	}
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		m.Peers.Drop(to)
	}
	if err != nil {
		m.step(member.Message{}, func(now time.Time, v *member.View) []member.Message { return v.SendFailed(now, msg) })
		return
	}
	if answer.Kind != "" {
		m.Serve(msg.To, answer)
	}
}

func (m *Members) call(ctx context.Context, to peer.Address, msg member.Message) (answer member.Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err = m.Peers.Call(ctx, to, peer.MethodPing, msg, &answer)
	return answer, err
}
