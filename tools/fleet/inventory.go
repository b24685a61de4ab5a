package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/standin/platform"
	"basilrudder/internal/trial"
)

// Shape of the generated inventories, after the target: 4 accelerators to a
// server, 7 data centres in 2 regions, 7 tiers, 6 models.
const (
	dataCentres      = 7
	firstRegion      = 4 // data centres of the first region
	enginesPerServer = 4
	slotsPerEngine   = 64
	models           = 6
	tiers            = 7
	customersPerPart = 250
	serversPerPart   = 25
	modelVersion     = "1"
	limitFactor      = 20
	minLimit         = 50
)

// Names of the classes that the load uses.
const (
	classStream  = "stream"
	classLetter  = "letter"
	classService = "lookup"
	classOnce    = "registry"
	serviceName  = "registry"
)

// shape says what to generate.
type shape struct {
	// Customers and model servers of the inventory.
	Customers int `json:"customers"`
	Servers   int `json:"servers"`
	// StepMS is the time of one decoding step in milliseconds.
	StepMS float64 `json:"step_ms"`
	// Rate of requests over the fleet, from which customers' limits follow.
	Rate float64 `json:"-"`
	// TTL of directory answers in seconds.
	TTL int `json:"directory_ttl_s"`
}

// servedModels returns how many of the models some server holds.
func (s shape) servedModels() int {
	return min(models, (s.Servers+dataCentres-1)/dataCentres)
}

func customerName(i int) string {
	return fmt.Sprintf("customer-%05d", i)
}

func modelName(i int) string {
	return fmt.Sprintf("model-%d", i%models)
}

func className(base string, model int) string {
	return fmt.Sprintf("%s-%d", base, model%models)
}

func dataCentreName(i int) string {
	return fmt.Sprintf("dc-%d", i%dataCentres)
}

// generate returns an inventory. Addresses of servers are filled in later.
func (s shape) generate() *inventory.Inventory {
	inv := &inventory.Inventory{Rules: &inventory.Rules{DirectoryTTLS: s.TTL}}
	for i := range dataCentres {
		region := "region-0"
		if i >= firstRegion {
			region = "region-1"
		}
		inv.DataCentres = append(inv.DataCentres, inventory.DataCentre{Name: dataCentreName(i), Region: region})
	}
	for i := range tiers {
		inv.Tiers = append(inv.Tiers, inventory.Tier{Tier: i, Name: fmt.Sprintf("tier-%d", i)})
	}
	for i := range models {
		inv.Models = append(inv.Models, inventory.Model{Name: modelName(i), Version: modelVersion})
		inv.Classes = append(inv.Classes, modelClass(className(classStream, i), i, true), modelClass(className(classLetter, i), i, false))
	}
	inv.Classes = append(inv.Classes, serviceClass(classService, true), serviceClass(classOnce, false))
	s.addServers(inv)
	s.addCustomers(inv)
	return inv
}

func modelClass(name string, model int, idempotent bool) inventory.Class {
	return inventory.Class{
		Name: name, Tier: model % tiers, Kind: inventory.ClassKindModel, Model: modelName(model),
		Idempotent: idempotent, MaxOutputTokens: 4096, MaxQueueMS: 60_000,
	}
}

func serviceClass(name string, idempotent bool) inventory.Class {
	return inventory.Class{
		Name: name, Tier: 0, Kind: inventory.ClassKindService, Service: serviceName,
		Idempotent: idempotent, MaxQueueMS: 60_000,
	}
}

func (s shape) addServers(inv *inventory.Inventory) {
	for i := range s.Servers {
		server := inventory.Server{
			Name: fmt.Sprintf("server-%04d", i), DataCentre: dataCentreName(i),
			Kind: inventory.ServerKindModel, ChecksFencing: i%2 == 0,
		}
		for e := range enginesPerServer {
			server.Engines = append(server.Engines, inventory.Engine{
				Name: fmt.Sprintf("engine-%d", e), Models: []string{modelName(i / dataCentres)},
				Slots: slotsPerEngine, StepMS: s.StepMS, Role: inventory.RoleMixed,
			})
		}
		inv.Servers = append(inv.Servers, server)
	}
	for i := range dataCentres {
		inv.Servers = append(inv.Servers, inventory.Server{
			Name: fmt.Sprintf("service-%d", i), DataCentre: dataCentreName(i), Kind: inventory.ServerKindApplication,
			Engines: []inventory.Engine{{Name: "workers", Services: []string{serviceName}, Slots: slotsPerEngine}},
		})
	}
}

func (s shape) addCustomers(inv *inventory.Inventory) {
	limit := max(minLimit, limitFactor*s.Rate/float64(s.Customers))
	for i := range s.Customers {
		sum := sha256.Sum256([]byte(trial.CredentialPrefix + customerName(i)))
		inv.Customers = append(inv.Customers, inventory.Customer{
			Name: customerName(i), CredentialSHA256: []string{hex.EncodeToString(sum[:])},
			Weight: 1, RequestsPerS: limit,
		})
	}
}

// values cuts an inventory into small published values, so that a change costs
// little.
func values(inv *inventory.Inventory) ([]platform.File, error) {
	var out []platform.File
	add := func(key string, part *inventory.Inventory) error {
		value, err := trial.Value(key, part)
		out = append(out, value)
		return err
	}
	for i := 0; i < len(inv.Customers); i += customersPerPart {
		part := &inventory.Inventory{Customers: inv.Customers[i:min(i+customersPerPart, len(inv.Customers))]}
		if err := add(fmt.Sprintf("customers-%04d.toml", i/customersPerPart), part); err != nil {
			return nil, err
		}
	}
	for i := 0; i < len(inv.Servers); i += serversPerPart {
		part := &inventory.Inventory{Servers: inv.Servers[i:min(i+serversPerPart, len(inv.Servers))]}
		if err := add(fmt.Sprintf("servers-%04d.toml", i/serversPerPart), part); err != nil {
			return nil, err
		}
	}
	rest := *inv
	rest.Customers = nil
	rest.Servers = nil
	return out, add("rules.toml", &rest)
}
