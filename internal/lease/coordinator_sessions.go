package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits on the sessions of a coordinator.
const (
	maxSessions      = 4096
	sessionRetention = 10 * time.Minute // after the lease and the last renewal, so that operators can see the session
)

// Session is a coordinator's record of one router process. It is encoded as JSON for operators.
type Session struct {
	Name               string        `json:"name"`
	Incarnation        string        `json:"incarnation"`
	KnownVersion       uint64        `json:"known"` // newest version for which a lease was granted
	Expiry             time.Duration `json:"-"`     // of the lease, by the coordinator's clock
	LastRenewal        time.Duration `json:"-"`     // when it was handled, by the coordinator's clock
	RemainingMillis    int64         `json:"left"`  // of the lease, in milliseconds; set by Sessions
	MillisSinceRenewal int64         `json:"ago"`   // since the last renewal, in milliseconds; set by Sessions
	DuplicateName      bool          `json:"twins"` // several processes of this name hold a lease; set by Sessions
	LastMessage        string        `json:"word"`  // for operators, from its last renewal
}

func (s *Session) leased(now time.Duration) bool { return s.Expiry > now }

// session returns the session of an incarnation, and creates it if there is none.
func (c *Coordinator) session(incarnation string) (*Session, error) {
	if s := c.sessions[incarnation]; s != nil {
		return s, nil
	}
	if len(c.sessions) >= maxSessions {
		return nil, errTooManyRouters
	}
	s := &Session{Incarnation: incarnation}
	c.sessions[incarnation] = s
	return s, nil
}

// removeStaleSessions removes the sessions whose lease has expired, and whose last renewal was handled, at least sessionRetention ago.
func (c *Coordinator) removeStaleSessions(now time.Duration) {
	maps.DeleteFunc(c.sessions, func(_ string, s *Session) bool {
		return now >= max(s.Expiry, s.LastRenewal)+sessionRetention
	})
}

// Sessions returns the sessions, sorted by name and incarnation.
func (c *Coordinator) Sessions(now time.Duration) []Session {
	leasesByName := map[string]int{}
	for _, s := range c.sessions {
		if s.leased(now) {
			leasesByName[s.Name]++
		}
	}
	sessions := make([]Session, 0, len(c.sessions))
	for _, s := range c.sessions {
		listed := *s
		listed.RemainingMillis = max(0, s.Expiry-now).Milliseconds()
		listed.MillisSinceRenewal = (now - s.LastRenewal).Milliseconds()
		listed.DuplicateName = leasesByName[s.Name] > 1
		sessions = append(sessions, listed)
	}
	slices.SortFunc(sessions, func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return sessions
}
