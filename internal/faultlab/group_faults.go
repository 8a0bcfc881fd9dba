package faultlab

import (
	"context"
	"errors"
	"slices"
)

// groupLinkFaults maps the faults of links from routers to members of the control group to their impairments.
var groupLinkFaults = map[FaultKind]func(Fault) linkImpairments{
	"group-cut":       blockBothWays,
	"group-cut-there": blockForward,
	"group-cut-back":  blockReverse,
	"group-delay":     delayReverse,
}

// faultMembers returns the members that a fault selects, by index or as the current leader. It skips currentLeader if there is no leader.
func (f *fleet) faultMembers(fault Fault) (members []*member) {
	for _, index := range fault.Members {
		if index == currentLeader {
			index = f.leader()
		}
		if index == noLeader {
			continue
		}
		members = append(members, f.members[index])
	}
	return members
}

// injectGroupFault begins a fault of the control group. repair ends it, and is nil if the fault is permanent or instantaneous.
func (f *fleet) injectGroupFault(ctx context.Context, fault Fault) (repair func() error, err error) {
	members := f.faultMembers(fault)
	if impaired, ok := groupLinkFaults[fault.Kind]; ok {
		return impairMemberLinks(members, fault.Routers, impaired(fault)), nil
	}
	switch fault.Kind {
	case faultResetGroupLinks:
		eachMemberLink(members, fault.Routers, (*Link).Reset)
	case faultPartitionMembers:
		return f.partition(members), nil
	case faultKillMembers:
		restart := func() error {
			return eachMember(members, func(m *member) error { return m.start(ctx) })
		}
		return restart, eachMember(members, (*member).kill)
	case faultLoseMembers:
		return nil, eachMember(members, (*member).lose)
	case faultStopMembers:
		resume := func() error { return eachMember(members, (*member).resume) }
		return resume, eachMember(members, (*member).stop)
	}
	return nil, nil
}

// eachMember calls a function for each of the members in turn, and joins the errors.
func eachMember(members []*member, do func(*member) error) (err error) {
	for _, m := range members {
		err = errors.Join(err, do(m))
	}
	return err
}

// eachMemberLink calls a function for the links from some routers to some members.
func eachMemberLink(members []*member, routers []int, do func(*Link)) {
	for _, m := range members {
		for _, r := range routers {
			do(m.routerLinks[r])
		}
	}
}

func impairMemberLinks(members []*member, routers []int, impaired linkImpairments) (repair func() error) {
	eachMemberLink(members, routers, func(l *Link) { l.Impair(impaired.forward, impaired.reverse) })
	return func() error {
		eachMemberLink(members, routers, (*Link).Restore)
		return nil
	}
}

// partition blocks the links between the given members and all other members of the group.
func (f *fleet) partition(members []*member) (repair func() error) {
	impair := func(i Impairment) {
		for _, m := range members {
			for _, other := range f.members {
				if slices.Contains(members, other) {
					continue
				}
				m.peerLinks[other.index].Impair(i, i)
				other.peerLinks[m.index].Impair(i, i)
			}
		}
	}
	impair(Impairment{Blocked: true})
	return func() error {
		impair(Impairment{})
		return nil
	}
}
