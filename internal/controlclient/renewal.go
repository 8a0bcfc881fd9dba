package controlclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/controlapi"
	"bankledge/internal/http1"
	"bankledge/internal/lease"
	"bankledge/internal/logevent"
)

// idleProbeTimeout bounds the read that checks whether an idle connection has been closed or has received unexpected data.
const idleProbeTimeout = 50 * time.Microsecond

// errSequenceMismatch is returned for a reply whose sequence number is not that of the renewal.
var errSequenceMismatch = errors.New("reply has the sequence number of another renewal")

// renew sends a renewal and delivers its reply, or lease.RenewalFailed if there is no valid reply.
func (t *Transport) renew(ctx context.Context, renewal lease.SendRenewal) {
	reply, err := t.exchangeRenewal(ctx, renewal)
	if err != nil {
		t.log.Debug(logevent.LeaseRenewalFailed, zap.Uint64("seq", renewal.Renewal.Seq), zap.Error(err))
		t.deliver(lease.RenewalFailed{Seq: renewal.Renewal.Seq})
		return
	}
	t.deliver(lease.ReplyReceived{Reply: reply})
}

// exchangeRenewal sends a renewal, on the idle connection if there is one, and waits for its reply. It fails if the reply is not complete
// within renewalTimeout.
func (t *Transport) exchangeRenewal(ctx context.Context, renewal lease.SendRenewal) (lease.Reply, error) {
	address := t.address(renewal.AddressIndex)
	request, err := renewalRequest(address, renewal.Renewal)
	if err != nil {
		return lease.Reply{}, err
	}
	deadline := time.Now().Add(t.renewalTimeout)
	conn, err := t.connect(ctx, address)
	if err != nil {
		return lease.Reply{}, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(deadline)
	reply, reusable, err := exchange(conn, request, renewal.Renewal.Seq)
	if err != nil || !reusable || ctx.Err() != nil || !t.storeIdle(conn) {
		conn.Close()
	}
	return reply, err
}

func renewalRequest(address string, renewal lease.Renewal) ([]byte, error) {
	body, err := json.Marshal(renewal)
	if err != nil {
		return nil, err
	}
	const format = "POST " + controlapi.RenewalPath + " HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Appendf(nil, format, address, len(body), body), nil
}

// exchange writes a request and reads the reply, which must have this sequence number. The connection is reusable if the group keeps it
// open and has sent nothing after the reply.
func exchange(conn net.Conn, request []byte, seq uint64) (reply lease.Reply, reusable bool, err error) {
	if _, err := conn.Write(request); err != nil {
		return reply, false, err
	}
	reader := http1.NewReader(conn)
	header, body, err := reader.ReadResponse(controlapi.MaxReplyBytes)
	if err != nil {
		return reply, false, err
	}
	if header.Status != http.StatusOK {
		return reply, false, &statusError{status: header.Status}
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return reply, false, err
	}
	if reply.Seq != seq {
		return reply, false, errSequenceMismatch
	}
	return reply, !header.Close && !reader.Buffered(), nil
}

// connect returns the idle connection if it is to this address and still usable. Otherwise it closes the idle connection and opens a new
// one.
func (t *Transport) connect(ctx context.Context, address string) (net.Conn, error) {
	select {
	case conn := <-t.idleConnection:
		if conn.RemoteAddr().String() == address && isIdle(conn) {
			return conn, nil
		}
		conn.Close()
	default:
	}
	return dial(ctx, address)
}

// storeIdle keeps a connection as the idle one. If there already is one, it returns false, and the caller has to close the connection.
func (t *Transport) storeIdle(conn net.Conn) bool {
	conn.SetDeadline(time.Time{})
	select {
	case t.idleConnection <- conn:
		return true
	default:
		return false
	}
}

// isIdle reports whether a connection is still open and has no unread data.
func isIdle(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(idleProbeTimeout))
	n, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return n == 0 && errors.As(err, &timeout) && timeout.Timeout()
}
