package main

import (
	"bytes"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Fields of /proc/pid/stat, counted from the state, which follows the name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
	// tick is the unit of CPU times, USER_HZ.
	tick = 10 * time.Millisecond
)

// parseStat reads the text of /proc/pid/stat. The name of the program may hold
// blanks and brackets, so fields are counted from the last bracket.
func parseStat(text []byte) (usage, error) {
	end := bytes.LastIndexByte(text, ')')
	if end < 0 {
		return usage{}, errors.New("no program name")
	}
	fields := bytes.Fields(text[end+1:])
	if len(fields) <= statResident {
		return usage{}, errors.New("too few fields")
	}
	user, err := strconv.ParseUint(string(fields[statUserTime]), 10, 64)
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.ParseUint(string(fields[statSystemTime]), 10, 64)
	if err != nil {
		return usage{}, err
	}
	pages, err := strconv.ParseUint(string(fields[statResident]), 10, 64)
	if err != nil {
		return usage{}, err
	}
	return usage{
		CPU: time.Duration(user+system) * tick,
		RSS: pages * uint64(os.Getpagesize()),
	}, nil
}

// loadAverage returns the load of the machine over the last minute.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := bytes.Cut(text, []byte(" "))
	load, err := strconv.ParseFloat(string(first), 64)
	if err != nil {
		return 0
	}
	return load
}

const peakKey = "VmHWM:"

// peakResident reads the highest resident memory so far, in bytes, from the text
// of /proc/pid/status.
func peakResident(text []byte) (uint64, error) {
	const kilobyte = 1 << 10
	for line := range bytes.Lines(text) {
		rest, found := bytes.CutPrefix(line, []byte(peakKey))
		if !found {
			continue
		}
		number := string(bytes.TrimSuffix(bytes.TrimSpace(rest), []byte(" kB")))
		kilobytes, err := strconv.ParseUint(number, 10, 64)
		return kilobytes * kilobyte, err
	}
	return 0, errors.New("no peak of resident memory")
}
