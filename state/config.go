package state

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/internal/yamlfile"
	"github.com/weldstream/weldstream/protocol"
)

// MaxConfigBytes is the maximum total size of the files of one apply.
const MaxConfigBytes = 4 << 20

// ErrConfigTooLarge is the error for an apply above [MaxConfigBytes].
var ErrConfigTooLarge = eris.New("configuration is too large")

// ConfigFile is one file of an apply.
type ConfigFile struct {
	Path string `json:"path"`
	Data string `json:"data"`
}

// ParseConfig parses the files of one apply into one configuration. It returns either
// all errors in all files, or a configuration in which all references are resolved.
func ParseConfig(files []ConfigFile) (*protocol.Config, []yamlfile.Fault) {
	p := &configParser{config: &protocol.Config{}, declared: map[string]string{}}
	if total := totalBytes(files); total > MaxConfigBytes {
		what := fmt.Sprintf("%v: %d bytes, the most is %d", ErrConfigTooLarge, total, MaxConfigBytes)
		return nil, []yamlfile.Fault{{File: files[0].Path, Line: 1, What: what}}
	}
	for _, f := range files {
		p.add(f)
	}
	if len(p.faults) == 0 {
		p.checkReferences()
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	sortConfig(p.config)
	return p.config, nil
}

func totalBytes(files []ConfigFile) int {
	total := 0
	for _, f := range files {
		total += len(f.Data)
	}
	return total
}

// configParser merges files into one configuration. It records the location of each
// item, so that errors found later can name its line.
type configParser struct {
	config   *protocol.Config
	faults   []yamlfile.Fault
	checks   []referenceCheck
	declared map[string]string // file that declares each item, by kind and name
}

// referenceCheck is a reference that is checked once all files are parsed.
type referenceCheck struct {
	doc  *yamlfile.Document
	path string
	kind string
	name string
}

func (p *configParser) add(f ConfigFile) {
	part := &protocol.Config{}
	doc, faults := yamlfile.Decode(f.Path, []byte(f.Data), part)
	p.faults = append(p.faults, faults...)
	if doc == nil {
		return
	}
	for i, m := range part.Models {
		p.declare(doc, fmt.Sprintf("models[%d].name", i), "model", m.Name, f.Path)
	}
	for i, a := range part.Adapters {
		p.declare(doc, fmt.Sprintf("adapters[%d].name", i), "adapter", a.Name, f.Path)
		p.refer(doc, fmt.Sprintf("adapters[%d].model", i), "model", a.Model)
	}
	for i, r := range part.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		p.declare(doc, at+".name", "route", r.Name, f.Path)
		p.refer(doc, at+".model", "model", r.Model)
		p.refer(doc, at+".adapter", "adapter", r.Adapter)
		p.referAll(doc, at+".workspaces", r.Workspaces)
	}
	for i, s := range part.Services {
		at := fmt.Sprintf("services[%d]", i)
		p.declare(doc, at+".name", "service", s.Name, f.Path)
		p.referAll(doc, at+".workspaces", s.Workspaces)
	}
	for i, w := range part.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		p.declare(doc, at+".name", "workspace", w.Name, f.Path)
		for j, digest := range w.KeyDigests {
			p.declare(doc, fmt.Sprintf("%s.key_sha256[%d]", at, j), "key digest", digest, f.Path)
		}
	}
	p.addFleet(doc, part.Fleet, f.Path)
	p.merge(part)
}

// addFleet adds the fleet, which only one file may define.
func (p *configParser) addFleet(doc *yamlfile.Document, fleet *protocol.Fleet, file string) {
	if fleet == nil {
		return
	}
	p.declare(doc, "fleet", "fleet", "fleet", file)
	p.config.Fleet = fleet
	for i, c := range fleet.Classes {
		at := fmt.Sprintf("fleet.classes[%d]", i)
		p.declare(doc, at+".name", "class", c.Name, file)
		for j, model := range c.Models {
			p.refer(doc, fmt.Sprintf("%s.models[%d]", at, j), "model", model)
		}
	}
}

func (p *configParser) merge(part *protocol.Config) {
	p.config.Models = append(p.config.Models, part.Models...)
	p.config.Adapters = append(p.config.Adapters, part.Adapters...)
	p.config.Routes = append(p.config.Routes, part.Routes...)
	p.config.Services = append(p.config.Services, part.Services...)
	p.config.Workspaces = append(p.config.Workspaces, part.Workspaces...)
}

func (p *configParser) declare(doc *yamlfile.Document, path, kind, name, file string) {
	if name == "" {
		return
	}
	id := kind + " " + name
	if first, ok := p.declared[id]; ok {
		p.faults = append(p.faults, doc.Fault(path, fmt.Sprintf("%s %q is declared already in %s", kind, name, first)))
		return
	}
	p.declared[id] = file
}

func (p *configParser) refer(doc *yamlfile.Document, path, kind, name string) {
	if name != "" {
		p.checks = append(p.checks, referenceCheck{doc: doc, path: path, kind: kind, name: name})
	}
}

func (p *configParser) referAll(doc *yamlfile.Document, path string, names []string) {
	for i, name := range names {
		p.refer(doc, fmt.Sprintf("%s[%d]", path, i), "workspace", name)
	}
}

func (p *configParser) checkReferences() {
	for _, c := range p.checks {
		if _, ok := p.declared[c.kind+" "+c.name]; !ok {
			p.faults = append(p.faults, c.doc.Fault(c.path, fmt.Sprintf("%s %q is not declared", c.kind, c.name)))
		}
	}
	p.checkAdapters()
}

// checkAdapters reports routes whose adapter belongs to another model.
func (p *configParser) checkAdapters() {
	base := map[string]string{}
	for _, a := range p.config.Adapters {
		base[a.Name] = a.Model
	}
	models := map[string]string{}
	for _, c := range p.checks {
		if c.kind == "model" {
			models[c.path] = c.name
		}
		if c.kind == "adapter" && base[c.name] != "" {
			route := c.path[:len(c.path)-len(".adapter")]
			if model := models[route+".model"]; model != base[c.name] {
				p.faults = append(p.faults, c.doc.Fault(c.path, fmt.Sprintf("adapter %q belongs to model %q, not %q", c.name, base[c.name], model)))
			}
		}
	}
}

func sortConfig(c *protocol.Config) {
	slices.SortFunc(c.Models, func(a, b protocol.Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Adapters, func(a, b protocol.Adapter) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Routes, func(a, b protocol.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b protocol.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Workspaces, func(a, b protocol.Workspace) int { return cmp.Compare(a.Name, b.Name) })
}

// Canonical returns the canonical encoding of a configuration. Its digest does not
// depend on how the configuration was split into files.
func Canonical(c *protocol.Config) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: a Config has only strings, numbers, booleans, and lists and structs of them
	}
	return data
}

// ParseCanonical decodes the encoding returned by [Canonical].
func ParseCanonical(number uint64, data []byte) (protocol.Revision, error) {
	c := &protocol.Config{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return protocol.Revision{}, eris.Wrap(err, "parse configuration")
	}
	return protocol.Revision{Number: number, Digest: protocol.DigestOf(data), Config: c}, nil
}
