package fleetconfig

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/finding"
	"laburnumroad.dev/laburnumroad/internal/keyhash"
	"laburnumroad.dev/laburnumroad/internal/yamlread"
)

const (
	// MaxCustomers bounds the customers. It is several times the 310 customers
	// of the two-year capacity plan and keeps the checks across customers fast.
	MaxCustomers = 2000
	// MaxServices bounds the services.
	MaxServices = 200
	// MaxOperations bounds the operations of one service.
	MaxOperations = 200
	// MaxKeys bounds the keys of one customer.
	MaxKeys = 20
	// MaxExceptions keeps the list of exceptions short enough to review.
	MaxExceptions = 50
	// MaxNameLength bounds names and ids, in characters.
	MaxNameLength = 63
	// MaxReasonLength bounds the reason of an exception, in characters.
	MaxReasonLength = 500
	// MaxCostTokens bounds the cost of one call of a plain service, in tokens.
	MaxCostTokens = 1_000_000
	// maxKeyHashLength is the length of an encoded key hash, in characters.
	maxKeyHashLength = len(keyhash.Prefix) + 2*len(keyhash.Hash{})
)

// Load parses and validates a configuration. It returns all findings at once; the
// configuration is nil if there are any. It does not read the clock, so whether
// a text is accepted does not depend on the date.
func Load(file, text string) (*Config, finding.List) {
	doc, root := yamlread.Parse(file, text)
	if len(doc.Findings()) > 0 {
		return nil, doc.Findings()
	}
	l := loader{config: &Config{Defaults: builtInDefaults}}
	l.load(root)
	if findings := doc.Findings(); len(findings) > 0 {
		return nil, findings
	}
	return l.config, nil
}

// loader builds a configuration.
type loader struct {
	config *Config
	// exceptionNodes holds the YAML value of each exception, parallel to
	// config.Exceptions, so that checks across exceptions can report positions.
	exceptionNodes []yamlread.Value
}

func (l *loader) load(root yamlread.Value) {
	if !root.Present() {
		root.Errorf("is empty")
		return
	}
	o := root.Object()
	l.loadDefaults(o.Optional("defaults"))
	for _, v := range o.Required("services").List(MaxServices) {
		l.loadService(v)
	}
	for _, v := range o.Required("customers").List(MaxCustomers) {
		l.loadCustomer(v)
	}
	l.loadExceptions(o.Optional("exceptions"))
	o.Close()
	l.checkAmbiguity()
}

func (l *loader) loadDefaults(v yamlread.Value) {
	o := v.Object()
	for _, def := range settings {
		def.read(&l.config.Defaults, o.Optional(string(def.name)))
	}
	o.Close()
}

func (l *loader) loadService(v yamlread.Value) {
	o := v.Object()
	name := o.Required("name")
	service := Service{Name: name.Name(MaxNameLength)}
	if service.Name != "" && l.config.Service(service.Name) != nil {
		name.Errorf("the service %s is defined twice", service.Name)
	}
	kinds := []string{string(KindModel), string(KindPlain)}
	service.Kind = Kind(o.Required("kind").Choice(kinds, ""))
	loadServiceDefaults(&service, o)
	loadOperations(&service, o)
	o.Close()
	l.config.Services = append(l.config.Services, service)
}

// loadServiceDefaults reads the settings that a service entry may override.
func loadServiceDefaults(service *Service, o *yamlread.Object) {
	service.Priority = readPriority(o.Optional(string(SettingPriority)), 0)
	service.Deadline = o.Optional(string(SettingDeadline)).Duration(MinDeadline, MaxDeadline, 0)
	output := o.Optional(string(SettingMaxOutputTokens))
	service.MaxOutputTokens = output.Int(1, MaxOutputTokensLimit, 0)
	if service.Kind == KindPlain && output.Present() {
		output.Errorf("a plain service does not generate tokens")
	}
}

func loadOperations(service *Service, o *yamlread.Object) {
	v := o.Optional("operations")
	if service.Kind == KindModel && v.Present() {
		v.Errorf("a model cannot have operations")
	}
	for _, entry := range v.List(MaxOperations) {
		loadOperation(service, entry)
	}
	if service.Kind == KindPlain && len(service.Operations) == 0 {
		o.Value().Errorf("a plain service needs at least one operation")
	}
}

func loadOperation(service *Service, v yamlread.Value) {
	o := v.Object()
	name := o.Required("name")
	operation := Operation{
		Name:       name.Name(MaxNameLength),
		Idempotent: o.Required("idempotent").Bool(false),
		CostTokens: o.Required("cost_tokens").Int(0, MaxCostTokens, 0),
	}
	o.Close()
	if operation.Name != "" && service.Operation(operation.Name) != nil {
		name.Errorf("the operation %s is defined twice", operation.Name)
	}
	service.Operations = append(service.Operations, operation)
}

func (l *loader) loadCustomer(v yamlread.Value) {
	o := v.Object()
	id := o.Required("id")
	customer := Customer{
		ID:     id.Name(MaxNameLength),
		Weight: o.Optional("weight").Float(MinWeight, MaxWeight, 0),
	}
	if customer.ID != "" && l.config.Customer(customer.ID) != nil {
		id.Errorf("the customer %s is defined twice", customer.ID)
	}
	for _, key := range o.Required("keys").List(MaxKeys) {
		l.loadKeyHash(&customer, key)
	}
	for _, service := range o.Required("services").List(MaxServices) {
		l.loadCustomerService(&customer, service)
	}
	o.Close()
	l.config.Customers = append(l.config.Customers, customer)
}

// loadKeyHash reads a key hash. A key must belong to exactly one customer, because
// it determines whose budget is charged.
func (l *loader) loadKeyHash(customer *Customer, v yamlread.Value) {
	text := v.Text(maxKeyHashLength, "")
	if text == "" {
		return
	}
	hash, err := keyhash.Parse(text)
	if err != nil {
		v.Errorf("%s", err)
		return
	}
	if owner := l.keyOwner(customer, hash); owner != "" {
		v.Errorf("this key already belongs to the customer %s", owner)
		return
	}
	customer.Keys = append(customer.Keys, hash)
}

// keyOwner returns the id of the customer that has a key, or an empty string.
// The given customer is not yet part of the configuration.
func (l *loader) keyOwner(customer *Customer, hash keyhash.Hash) string {
	if hasKey(customer, hash) {
		return customer.ID
	}
	for i := range l.config.Customers {
		if hasKey(&l.config.Customers[i], hash) {
			return l.config.Customers[i].ID
		}
	}
	return ""
}

func hasKey(customer *Customer, hash keyhash.Hash) bool {
	for _, k := range customer.Keys {
		if k == hash {
			return true
		}
	}
	return false
}

func (l *loader) loadCustomerService(customer *Customer, v yamlread.Value) {
	name := v.Name(MaxNameLength)
	if name == "" {
		return
	}
	if l.config.Service(name) == nil {
		v.Errorf("unknown service %s", name)
		return
	}
	if customer.MayCall(name) {
		v.Errorf("the service %s is listed twice", name)
		return
	}
	customer.Services = append(customer.Services, name)
}

func (l *loader) loadExceptions(v yamlread.Value) {
	for _, entry := range v.List(MaxExceptions) {
		l.loadException(entry)
	}
}

func (l *loader) loadException(v yamlread.Value) {
	o := v.Object()
	e := Exception{values: builtInDefaults}
	e.Customer = l.loadExceptionCustomer(o.Optional("customer"))
	e.Service = l.loadExceptionService(o.Optional("service"))
	e.Reason = o.Required("reason").Text(MaxReasonLength, "")
	e.Until = loadDate(o.Optional("until"))
	loadExceptionSetting(&e, o)
	o.Close()
	l.config.Exceptions = append(l.config.Exceptions, e)
	l.exceptionNodes = append(l.exceptionNodes, v)
}

func (l *loader) loadExceptionCustomer(v yamlread.Value) string {
	id := v.Name(MaxNameLength)
	if id != "" && l.config.Customer(id) == nil {
		v.Errorf("unknown customer %s", id)
	}
	return id
}

func (l *loader) loadExceptionService(v yamlread.Value) string {
	name := v.Name(MaxNameLength)
	if name != "" && l.config.Service(name) == nil {
		v.Errorf("unknown service %s", name)
	}
	return name
}

// loadDate reads a date such as 2026-12-31 and returns the end of that day in UTC.
func loadDate(v yamlread.Value) time.Time {
	text := v.Text(len(time.DateOnly), "")
	if text == "" {
		return time.Time{}
	}
	day, err := time.Parse(time.DateOnly, text)
	if err != nil {
		v.Errorf("must be a date such as 2026-12-31")
		return time.Time{}
	}
	return day.AddDate(0, 0, 1)
}

// loadExceptionSetting reads the setting of an exception and its value.
func loadExceptionSetting(e *Exception, o *yamlread.Object) {
	name, value := o.Required("setting"), o.Required("value")
	e.Setting = Setting(name.Text(MaxNameLength, ""))
	e.Value = value.Source()
	if e.Setting == "" {
		return
	}
	def := findSettingDef(e.Setting)
	if def == nil {
		name.Errorf("unknown setting %s", e.Setting)
		return
	}
	def.read(&e.values, value)
	checkScope(e, def, o.Value())
}

// checkScope rejects an exception that names a customer or service that its
// setting does not depend on, since it could not take effect as written.
func checkScope(e *Exception, def *settingDef, node yamlread.Value) {
	switch {
	case e.Customer == "" && e.Service == "":
		node.Errorf("must name a customer, a service or both; fleet-wide settings belong in defaults")
	case def.scope == scopeCustomer && e.Service != "":
		node.Errorf("%s applies to a customer at all services; name only a customer", def.name)
	case def.scope == scopeService && e.Customer != "":
		node.Errorf("%s applies to a service for all customers; name only a service", def.name)
	}
}

// checkAmbiguity reports pairs of exceptions that set the same setting of the
// same customer at the same service with equal precedence.
func (l *loader) checkAmbiguity() {
	for j := range l.config.Exceptions {
		for i := range j {
			if l.ambiguous(i, j) {
				l.exceptionNodes[j].Errorf("is ambiguous with exceptions[%d]: both set %s for the same requests",
					i, l.config.Exceptions[j].Setting)
			}
		}
	}
}

// ambiguous reports whether exceptions i and j set the same setting for the same
// requests and neither takes precedence.
func (l *loader) ambiguous(i, j int) bool {
	a, b := &l.config.Exceptions[i], &l.config.Exceptions[j]
	if a.Setting == "" || a.Setting != b.Setting {
		return false
	}
	if a.Customer == b.Customer && a.Service == b.Service {
		return true
	}
	if a.namesBoth() || b.namesBoth() {
		return false
	}
	// Either one names a customer and the other a service, or both name different
	// customers or different services.
	customer, service := a.Customer+b.Customer, a.Service+b.Service
	oneOfEach := (a.Customer == "") != (b.Customer == "") && (a.Service == "") != (b.Service == "")
	return oneOfEach && l.mayCall(customer, service) && !l.hasExactException(a.Setting, customer, service)
}

// mayCall reports whether a customer may call a service. Exceptions that overlap
// only for a pair that never occurs are not ambiguous.
func (l *loader) mayCall(customer, service string) bool {
	entry := l.config.Customer(customer)
	return entry != nil && entry.MayCall(service)
}

// hasExactException reports whether an exception names exactly this customer and service.
func (l *loader) hasExactException(s Setting, customer, service string) bool {
	for i := range l.config.Exceptions {
		e := &l.config.Exceptions[i]
		if e.Setting == s && e.Customer == customer && e.Service == service {
			return true
		}
	}
	return false
}
