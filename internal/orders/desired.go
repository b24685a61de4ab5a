package orders

import (
	"slices"
	"strings"

	"basilrudder/internal/catalog"
	"basilrudder/internal/enginehttp"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/inventory"
)

// defaultVersion is the version of a model without a published one. Another value would make
// the engines that hold such models load them again.
const defaultVersion = "1"

// desiredState is what an engine should hold. It depends on the catalog alone, so that two
// instances at the same revision send the same order.
type desiredState struct {
	models []string // name@version, sorted
	role   string
}

// desiredStateOf returns the desired state of the engine, or false for the worker pool of an
// application server, which gets no orders.
//
// The engines of a withdrawn server get the role that refuses work. An instance that was
// paused or partitioned may not have received the withdrawal and still send requests. The
// engines keep their models, which costs nothing and makes them usable again at once.
func desiredStateOf(cat *catalog.Catalog, engine *catalog.Engine) (desiredState, bool) {
	server := engine.Server.Spec
	if server.Kind != inventory.ServerKindModel {
		return desiredState{}, false
	}
	s := desiredState{models: []string{}, role: string(engine.Spec.Role)}
	if s.role == "" {
		s.role = string(inventory.RoleMixed)
	}
	if server.Withdrawn {
		s.role = enginehttp.RoleWithdrawn
	}
	for _, name := range engine.Spec.Models {
		s.models = append(s.models, withVersion(cat, name))
	}
	slices.Sort(s.models)
	s.models = slices.Compact(s.models)
	return s, true
}

// withVersion returns name@version, with the published version of the model if name has none.
func withVersion(cat *catalog.Catalog, name string) string {
	if strings.Contains(name, "@") {
		return name
	}
	for _, model := range cat.Inventory.Models {
		if model.Name == name && model.Version != "" {
			return name + "@" + model.Version
		}
	}
	return name + "@" + defaultVersion
}

func (s desiredState) equal(other desiredState) bool {
	return s.role == other.role && slices.Equal(s.models, other.models)
}

// difference is the difference between a report and the desired state.
type difference struct {
	// missing reports whether the engine neither holds nor loads a desired model.
	missing bool
	// unexpected reports whether the engine has a model or a role that it should not have.
	unexpected bool
}

func (d difference) any() bool {
	return d.missing || d.unexpected
}

func (s desiredState) compare(report *engineapi.OrderAnswer) difference {
	var d difference
	for _, model := range s.models {
		if !slices.Contains(report.Models, model) && !slices.Contains(report.Loading, model) {
			d.missing = true
		}
	}
	role := report.Role
	if role == "" {
		role = string(inventory.RoleMixed)
	}
	d.unexpected = role != s.role || hasUnexpected(report.Loading, s.models) ||
		// The old models serve requests while new ones load.
		len(report.Loading) == 0 && hasUnexpected(report.Models, s.models)
	return d
}

func hasUnexpected(reported, desired []string) bool {
	return slices.ContainsFunc(reported, func(model string) bool { return !slices.Contains(desired, model) })
}
