//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: review2 CASE FOLDER"
)

// cases are the cases by number. Each returns its exit status.
var cases = map[string]func(root string, trouble bool, rec *record) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(couldNot)
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	root, err := os.Getwd()
	if err != nil {
		os.Exit(couldNot)
	}
	rec := &record{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %v", os.Args[1], trouble)
	status := cases[os.Args[1]](root, trouble, rec)
	rec.log("exit status %d", status)
	_ = out.Close()
	os.Exit(status)
}
