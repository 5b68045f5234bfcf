//go:build review2

package main

import (
	"os"
	"syscall"
	"time"
)

func init() { cases["replaced"] = replaced }

// replaced: one of five control instances is replaced as planned, and another one is frozen for 4 s
// meanwhile. Long after, all processes are killed right after an acknowledgement, and two of the
// disks are lost.
func replaced(root string, trouble bool, rec *record) int {
	c, err := newCluster(root, 5, 1, 2, rec, "47")
	if err != nil {
		rec.log("cannot prepare: %v", err)
		return couldNot
	}
	defer c.close(os.Getenv("KEEP") != "")
	if err := c.startAll(); err != nil {
		return couldNot
	}
	if err := c.replace(streamDocument(1, `"service":"llm"`), 15*time.Second); err != nil {
		rec.log("%v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second)
	// The planned replacement: the new one first, then SIGTERM after catchUpS.
	successor := c.addControl()
	rec.log("%s starts with an empty disk, in place of control-3", successor.name)
	if err := c.start(successor); err != nil {
		return couldNot
	}
	stop := time.After(4 * time.Second)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		rec.log("control-4 freezes (SIGSTOP)")
		c.controls[4].signal(syscall.SIGSTOP)
	}
	thaw := time.After(4 * time.Second)
	<-stop
	rec.log("control-3 gets SIGTERM and is gone for good")
	c.controls[3].signal(syscall.SIGTERM)
	<-c.controls[3].ended
	<-thaw
	if trouble {
		rec.log("control-4 wakes (SIGCONT)")
		c.controls[4].signal(syscall.SIGCONT)
	}
	left := []*proc{c.controls[0], c.controls[1], c.controls[2], c.controls[4], successor}
	c.controls = append(left, c.controls[3])
	c.controls = c.controls[:5]
	time.Sleep(10 * time.Second) // Everything has been calm for more than catchUpS and contactMs.
	if err := c.replace(streamDocument(2, `"service":"llm"`), 8*time.Second); err != nil {
		rec.log("configuration 2: %v", err)
		return couldNot
	}
	rec.log("operator: configuration 2 is acknowledged")
	for _, p := range left {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range left {
		<-p.ended
	}
	lost := []*proc{c.controls[0], successor}
	for _, p := range lost {
		if err := os.RemoveAll(c.dataDir(p)); err != nil {
			return couldNot
		}
		rec.log("%s loses its disk", p.name)
	}
	c.founded = true
	time.Sleep(time.Second)
	for _, p := range left {
		c.rewrite(p)
		if err := c.start(p); err != nil {
			return couldNot
		}
	}
	rec.log("all control instances are started again")
	document, ok := c.fetch(24 * time.Second) // Twice recoveryS.
	switch {
	case !ok:
		rec.log("CONFIG is broken: no instance answers with a configuration in 24 s")
		return broken
	case document != streamDocument(2, `"service":"llm"`):
		rec.log("CONFIG is broken: the configuration read back is another one")
		return broken
	}
	rec.log("configuration 2 is read back")
	return held
}
