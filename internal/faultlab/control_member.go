package faultlab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bankledge/internal/adminclient"
	"bankledge/internal/controlserver"
	"bankledge/internal/lease"
)

// GroupDurations are the durations of a run with a control group, shorter than the defaults so that a run takes seconds.
var GroupDurations = lease.Durations{
	LeaseDuration: time.Second,
	RenewInterval: 200 * time.Millisecond,
	ReplyTimeout:  200 * time.Millisecond,
	MaxClockDrift: 0.01,
	MaxBatch:      50 * time.Millisecond,
	MaxPause:      50 * time.Millisecond,
}

const (
	memberHeartbeat          = 50 * time.Millisecond
	memberElectionTimeout    = 400 * time.Millisecond
	memberCompactionInterval = 50 // entries of the log
	leaderStatusTimeout      = 300 * time.Millisecond
	noLeader                 = -1
)

// member is a process of the control group, with the links to it.
type member struct {
	fleet         *fleet
	index         int
	peerAddress   string  // listen address for the other members
	clientAddress string  // listen address for routers and operators
	peerLinks     []*Link // one from each member
	routerLinks   []*Link // one from each router

	mu      sync.Mutex
	process *process // nil before the first start
	starts  int
	lost    bool // it is never restarted
}

// Members listen below the range of ephemeral ports, so that no connection takes the port of a member that is down.
const (
	firstMemberPort = 12000
	memberPortCount = 20000
	maxPortAttempts = 200
)

var nextMemberPort atomic.Int64

// unusedMemberAddress returns a loopback address on which no process currently listens.
func unusedMemberAddress() (string, error) {
	nextMemberPort.CompareAndSwap(0, int64(os.Getpid())*131)
	var err error
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstMemberPort+nextMemberPort.Add(1)%memberPortCount)
		var listener net.Listener
		listener, err = net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", err
}

// startGroup starts the processes of the control group.
func (f *fleet) startGroup(ctx context.Context) error {
	for i := range f.scenario.ControlMembers {
		m, err := f.newMember(i)
		if err != nil {
			return err
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		if err := m.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) newMember(index int) (*member, error) {
	m := &member{fleet: f, index: index}
	var err error
	m.peerAddress, err = unusedMemberAddress()
	if err != nil {
		return nil, err
	}
	m.clientAddress, err = unusedMemberAddress()
	if err != nil {
		return nil, err
	}
	m.peerLinks, err = newLinks(f.scenario.ControlMembers, m.peerAddress)
	if err != nil {
		return nil, err
	}
	m.routerLinks, err = newLinks(f.scenario.Routers, m.clientAddress)
	if err != nil {
		return nil, err
	}
	return m, nil
}

func newLinks(count int, target string) (links []*Link, err error) {
	for range count {
		link, err := NewLink(target)
		if err != nil {
			return nil, err
		}
		links = append(links, link)
	}
	return links, nil
}

// start starts the process and waits until it serves. It does nothing if the member is lost.
func (m *member) start(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost {
		return nil
	}
	settings, err := m.writeSettings()
	if err != nil {
		return err
	}
	m.starts++
	name := fmt.Sprintf("control group member %d", m.index)
	logFile := filepath.Join(m.fleet.dir, fmt.Sprintf("member-%d-%d.log", m.index, m.starts))
	cmd := exec.Command(m.fleet.options.ControlProgram, "serve", settings)
	m.process, err = startProcess(name, cmd, logFile, func([]byte) {})
	if err != nil {
		return err
	}
	_, err = m.process.awaitServing(ctx)
	return err
}

// writeSettings writes the settings of the process, in which the address of each other member is that of a link.
func (m *member) writeSettings() (path string, err error) {
	members := map[string]controlserver.Member{}
	for _, other := range m.fleet.members {
		at := controlserver.Member{Peer: other.peerAddress, Client: other.clientAddress}
		if other != m {
			at.Peer = other.peerLinks[m.index].Address()
		}
		members[strconv.Itoa(other.index+1)] = at
	}
	drift := GroupDurations.MaxClockDrift
	raw, err := json.Marshal(controlserver.Settings{
		ID:                    uint64(m.index + 1),
		DataDir:               fmt.Sprintf("member-%d", m.index),
		Members:               members,
		LeaseMillis:           GroupDurations.LeaseDuration.Milliseconds(),
		RenewIntervalMillis:   GroupDurations.RenewInterval.Milliseconds(),
		ReplyTimeoutMillis:    GroupDurations.ReplyTimeout.Milliseconds(),
		MaxBatchMillis:        GroupDurations.MaxBatch.Milliseconds(),
		MaxPauseMillis:        GroupDurations.MaxPause.Milliseconds(),
		MaxClockDrift:         &drift,
		HeartbeatMillis:       memberHeartbeat.Milliseconds(),
		ElectionTimeoutMillis: memberElectionTimeout.Milliseconds(),
		MaxRemovedShare:       1,
		CompactionInterval:    memberCompactionInterval,
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(m.fleet.dir, fmt.Sprintf("member-%d.json", m.index))
	return path, os.WriteFile(path, raw, 0o600)
}

func (m *member) current() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// kill kills the process and waits until it has ended.
func (m *member) kill() error { return m.current().kill() }

// lose kills the process permanently.
func (m *member) lose() error {
	m.lost = true
	return m.kill()
}

func (m *member) stop() error { return m.current().signal(syscall.SIGSTOP) }

func (m *member) resume() error { return m.current().signal(syscall.SIGCONT) }

func (m *member) close() {
	if m.process != nil {
		m.kill()
	}
	for _, l := range m.peerLinks {
		l.Close()
	}
	for _, l := range m.routerLinks {
		l.Close()
	}
}

// leader returns the index of the member that reports itself as the confirmed leader, or noLeader.
func (f *fleet) leader() int {
	for _, m := range f.members {
		client := adminclient.New([]string{m.clientAddress}, leaderStatusTimeout)
		status, err := client.Status(context.Background())
		if err == nil && status.IsLeader {
			return m.index
		}
	}
	return noLeader
}

// memberAddresses returns the addresses on which the members listen for operators.
func (f *fleet) memberAddresses() (addresses []string) {
	for _, m := range f.members {
		addresses = append(addresses, m.clientAddress)
	}
	return addresses
}
