package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	recordMu    sync.Mutex
	recordFile  *os.File
	recordStart = time.Now()
)

// record writes a line to record.txt, with the seconds since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(recordStart).Seconds(), fmt.Sprintf(format, args...))
}
