package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

// readFiles reads the given files, and all *.yaml files of the given directories in
// the order of their names.
func readFiles(paths []string) ([]state.ConfigFile, error) {
	var files []state.ConfigFile
	for _, path := range paths {
		names, err := configPaths(path)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				return nil, eris.Wrap(err, "read configuration")
			}
			files = append(files, state.ConfigFile{Path: name, Data: string(data)})
		}
	}
	return files, nil
}

func configPaths(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	if err != nil {
		return nil, eris.Wrap(err, "list directory")
	}
	if len(names) == 0 {
		return nil, eris.Errorf("directory %s contains no *.yaml file", path)
	}
	sort.Strings(names)
	return names, nil
}

func runCheck(e env, fs *flag.FlagSet, args []string) int {
	asJSON := fs.Bool("json", false, "print JSON")
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if fs.NArg() == 0 {
		fmt.Fprintln(e.err, "weldctl: check needs at least one path")
		return exitUsage
	}
	files, err := readFiles(fs.Args())
	if err != nil {
		return failf(e, "%v", err)
	}
	config, faults := state.ParseConfig(files)
	for _, f := range faults {
		fmt.Fprintln(e.err, f)
	}
	if len(faults) > 0 {
		return failf(e, "%d faults", len(faults))
	}
	if *asJSON {
		return printJSON(e, config)
	}
	digest := protocol.DigestOf(state.Canonical(config))
	fmt.Fprintf(e.out, "good: %d models, %d adapters, %d routes, %d services, %d workspaces, digest %s\n",
		len(config.Models), len(config.Adapters), len(config.Routes), len(config.Services), len(config.Workspaces), digest.Short())
	return exitOK
}

func runSettings(e env, fs *flag.FlagSet, args []string) int {
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	text, err := settings.Reference()
	if err != nil {
		return failf(e, "%v", err)
	}
	fmt.Fprint(e.out, text)
	return exitOK
}
