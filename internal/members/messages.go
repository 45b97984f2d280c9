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

// step lets the view decide with what this instance knows of itself now, and sends what it returns, without the answer
// to the given message.
//
// What a statement about the log says must hold after the message that it answers was received, so Describe is called
// here and not at intervals.
func (m *Members) step(asked member.Message, decide func(now time.Time, v *member.View) []member.Message) (answer member.Message) {
	now := time.Now()
	self := m.Describe(now)
	m.mu.Lock()
	m.view.SetSelf(self)
	out := decide(now, m.view)
	suspected := m.refresh(now)
	for _, o := range out {
		if o.Kind == member.Ack && o.To == asked.From && o.Seq == asked.Seq {
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

// Serve takes a message of a peer and returns the answer, which has no kind if there is none to give at once.
func (m *Members) Serve(from ids.InstanceID, msg member.Message) (answer member.Message) {
	msg.From, msg.To = from, m.Self.Instance
	return m.step(msg, func(now time.Time, v *member.View) []member.Message { return v.Receive(now, msg) })
}

// Unreachable takes a request that a run did not take as a reason to probe it at once.
func (m *Members) Unreachable(w ids.WriterID) {
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

// send sends one message and takes its answer.
func (m *Members) send(ctx context.Context, msg member.Message) {
	to, ok := m.AddressOf(msg.To)
	if !ok {
		return
	}
	answer, err := m.call(ctx, to, msg)
	if err != nil && !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, context.DeadlineExceeded) {
		answer, err = m.call(ctx, to, msg) // the connection has ended, which says nothing of the peer's present run
	}
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		m.Peers.Drop(to)
	}
	if err != nil {
		m.step(member.Message{}, func(now time.Time, v *member.View) []member.Message { return v.Failed(now, msg) })
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
