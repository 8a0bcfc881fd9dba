package faultlab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	clockTicks   = 100 // a second, of the processor times in /proc
	megabyte     = 1 << 20
	statUserTime = 11 // fields of /proc/PID/stat after the name of the command
	statSysTime  = 12
	statmPages   = 1 // field of /proc/PID/statm
)

// groupUsage is what the control group had used at a moment.
type groupUsage struct {
	members []*member
	leader  *member
	cpu     float64 // seconds, of the leader
	bytes   float64
}

func (run *benchmarkRun) startUsage() groupUsage {
	return groupUsage{
		members: run.fleet.members,
		leader:  run.leader,
		cpu:     run.leader.cpuSeconds(),
		bytes:   transferredBytes(run.fleet.members),
	}
}

// rates returns what was used since: processor time of the leader a second, and bytes of the group a second and router.
func (u groupUsage) rates(passed float64, routers int) (cpu, bytes float64) {
	cpu = (u.leader.cpuSeconds() - u.cpu) / passed
	bytes = (transferredBytes(u.members) - u.bytes) / passed / float64(routers)
	return cpu, bytes
}

// cpuSeconds is the processor time of the process by the system's own accounting; 0: not known.
func (m *member) cpuSeconds() float64 {
	raw, err := os.ReadFile(m.procFile("stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSysTime {
		return 0
	}
	return (parseNumber(fields[statUserTime]) + parseNumber(fields[statSysTime])) / clockTicks
}

// residentMB is the resident memory of the process; 0: not known.
func (m *member) residentMB() float64 {
	raw, err := os.ReadFile(m.procFile("statm"))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) <= statmPages {
		return 0
	}
	return parseNumber(fields[statmPages]) * float64(os.Getpagesize()) / megabyte
}

// transferredBytes is what all processes have read and written by calls, which is what passed their sockets and a little of their disks.
func transferredBytes(members []*member) (total float64) {
	for _, m := range members {
		raw, err := os.ReadFile(m.procFile("io"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			if name == "rchar" || name == "wchar" {
				total += parseNumber(value)
			}
		}
	}
	return total
}

func (m *member) procFile(name string) string {
	return fmt.Sprintf("/proc/%d/%s", m.current().cmd.Process.Pid, name)
}

// parseNumber returns 0 for what is no number.
func parseNumber(text string) float64 {
	number, _ := strconv.ParseFloat(text, 64)
	return number
}
