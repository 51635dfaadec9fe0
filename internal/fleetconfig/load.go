package fleetconfig

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/finding"
	"laburnumroad.dev/laburnumroad/internal/keyhash"
	"laburnumroad.dev/laburnumroad/internal/yamlread"
)

const (
	// MaxCustomers bounds the customers. It is several times the 310 of the
	// two-year size and keeps the checks between rows short.
	MaxCustomers = 2000
	// MaxServices bounds the services.
	MaxServices = 200
	// MaxOperations bounds the operations of one service.
	MaxOperations = 200
	// MaxKeys bounds the keys of one customer.
	MaxKeys = 20
	// MaxExceptions keeps the list of exceptions short enough to read.
	MaxExceptions = 50
	// MaxNameLength bounds names and ids, in characters.
	MaxNameLength = 63
	// MaxReasonLength bounds the reason of an exception, in characters.
	MaxReasonLength = 500
	// MaxCostTokens bounds the cost of one plain call, in tokens.
	MaxCostTokens = 1_000_000
	// maxKeyLength is the length of the text form of a key hash, in characters.
	maxKeyLength = len(keyhash.Prefix) + 2*len(keyhash.Hash{})
)

// Load reads and checks a configuration. It returns every finding at once; the
// configuration is nil if there are findings. It reads no clock: whether a
// text is accepted does not depend on the date.
func Load(file, text string) (*Config, finding.List) {
	doc, root := yamlread.Parse(file, text)
	if len(doc.Findings()) > 0 {
		return nil, doc.Findings()
	}
	l := loader{config: &Config{Defaults: builtIn}}
	l.load(root)
	if found := doc.Findings(); len(found) > 0 {
		return nil, found
	}
	return l.config, nil
}

// loader fills a configuration. The places are parallel to the rows of the
// same name and serve the checks between rows.
type loader struct {
	config          *Config
	exceptionPlaces []yamlread.Value
}

func (l *loader) load(root yamlread.Value) {
	if !root.Present() {
		root.Fail("is empty")
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
	for _, s := range settings {
		s.read(&l.config.Defaults, o.Optional(string(s.name)))
	}
	o.Close()
}

func (l *loader) loadService(v yamlread.Value) {
	o := v.Object()
	name := o.Required("name")
	row := Service{Name: name.Name(MaxNameLength)}
	if row.Name != "" && l.config.Service(row.Name) != nil {
		name.Fail("the service %s is defined twice", row.Name)
	}
	kinds := []string{string(KindModel), string(KindPlain)}
	row.Kind = Kind(o.Required("kind").Choice(kinds, ""))
	loadServiceDefaults(&row, o)
	loadOperations(&row, o)
	o.Close()
	l.config.Services = append(l.config.Services, row)
}

// loadServiceDefaults reads the settings that a service may set for itself.
func loadServiceDefaults(row *Service, o *yamlread.Object) {
	row.Priority = priorityRange(o.Optional(string(SettingPriority)), 0)
	row.Deadline = o.Optional(string(SettingDeadline)).Duration(MinDeadline, MaxDeadline, 0)
	output := o.Optional(string(SettingMaxOutputTokens))
	row.MaxOutputTokens = output.Int(1, MaxOutputTokensLimit, 0)
	if row.Kind == KindPlain && output.Present() {
		output.Fail("a plain service generates no tokens")
	}
}

func loadOperations(row *Service, o *yamlread.Object) {
	v := o.Optional("operations")
	if row.Kind == KindModel && v.Present() {
		v.Fail("a model has no operations")
	}
	for _, entry := range v.List(MaxOperations) {
		loadOperation(row, entry)
	}
	if row.Kind == KindPlain && len(row.Operations) == 0 {
		o.Value().Fail("a plain service needs at least one operation")
	}
}

func loadOperation(row *Service, v yamlread.Value) {
	o := v.Object()
	name := o.Required("name")
	op := Operation{
		Name:       name.Name(MaxNameLength),
		Idempotent: o.Required("idempotent").Bool(false),
		CostTokens: o.Required("cost_tokens").Int(0, MaxCostTokens, 0),
	}
	o.Close()
	if op.Name != "" && row.Operation(op.Name) != nil {
		name.Fail("the operation %s is defined twice", op.Name)
	}
	row.Operations = append(row.Operations, op)
}

func (l *loader) loadCustomer(v yamlread.Value) {
	o := v.Object()
	id := o.Required("id")
	row := Customer{
		ID:     id.Name(MaxNameLength),
		Weight: o.Optional("weight").Float(MinWeight, MaxWeight, 0),
	}
	if row.ID != "" && l.config.Customer(row.ID) != nil {
		id.Fail("the customer %s is defined twice", row.ID)
	}
	for _, key := range o.Required("keys").List(MaxKeys) {
		l.loadKey(&row, key)
	}
	for _, service := range o.Required("services").List(MaxServices) {
		l.loadCustomerService(&row, service)
	}
	o.Close()
	l.config.Customers = append(l.config.Customers, row)
}

// loadKey reads a key hash. One key must name one customer, because the key
// decides whose budget is charged.
func (l *loader) loadKey(row *Customer, v yamlread.Value) {
	text := v.Text(maxKeyLength, "")
	if text == "" {
		return
	}
	hash, err := keyhash.Parse(text)
	if err != nil {
		v.Fail("%s", err)
		return
	}
	if owner := l.keyOwner(row, hash); owner != "" {
		v.Fail("this key already belongs to the customer %s", owner)
		return
	}
	row.Keys = append(row.Keys, hash)
}

func (l *loader) keyOwner(row *Customer, hash keyhash.Hash) string {
	if hasKey(row, hash) {
		return row.ID
	}
	for i := range l.config.Customers {
		if hasKey(&l.config.Customers[i], hash) {
			return l.config.Customers[i].ID
		}
	}
	return ""
}

func hasKey(row *Customer, hash keyhash.Hash) bool {
	for _, k := range row.Keys {
		if k == hash {
			return true
		}
	}
	return false
}

func (l *loader) loadCustomerService(row *Customer, v yamlread.Value) {
	name := v.Name(MaxNameLength)
	if name == "" {
		return
	}
	if l.config.Service(name) == nil {
		v.Fail("there is no service %s", name)
		return
	}
	if row.MayCall(name) {
		v.Fail("the service %s is listed twice", name)
		return
	}
	row.Services = append(row.Services, name)
}

func (l *loader) loadExceptions(v yamlread.Value) {
	for _, entry := range v.List(MaxExceptions) {
		l.loadException(entry)
	}
}

func (l *loader) loadException(v yamlread.Value) {
	o := v.Object()
	e := Exception{values: builtIn}
	e.Customer = l.loadExceptionCustomer(o.Optional("customer"))
	e.Service = l.loadExceptionService(o.Optional("service"))
	e.Reason = o.Required("reason").Text(MaxReasonLength, "")
	e.Until = loadDate(o.Optional("until"))
	loadExceptionValue(&e, o)
	o.Close()
	l.config.Exceptions = append(l.config.Exceptions, e)
	l.exceptionPlaces = append(l.exceptionPlaces, v)
}

func (l *loader) loadExceptionCustomer(v yamlread.Value) string {
	id := v.Name(MaxNameLength)
	if id != "" && l.config.Customer(id) == nil {
		v.Fail("there is no customer %s", id)
	}
	return id
}

func (l *loader) loadExceptionService(v yamlread.Value) string {
	name := v.Name(MaxNameLength)
	if name != "" && l.config.Service(name) == nil {
		v.Fail("there is no service %s", name)
	}
	return name
}

// loadDate reads a day such as 2026-12-31 and returns its end in UTC.
func loadDate(v yamlread.Value) time.Time {
	text := v.Text(len(time.DateOnly), "")
	if text == "" {
		return time.Time{}
	}
	day, err := time.Parse(time.DateOnly, text)
	if err != nil {
		v.Fail("must be a date such as 2026-12-31")
		return time.Time{}
	}
	return day.AddDate(0, 0, 1)
}

func loadExceptionValue(e *Exception, o *yamlread.Object) {
	name, value := o.Required("setting"), o.Required("value")
	e.Setting = Setting(name.Text(MaxNameLength, ""))
	e.Value = value.Source()
	if e.Setting == "" {
		return
	}
	s := findSetting(e.Setting)
	if s == nil {
		name.Fail("there is no setting %s", e.Setting)
		return
	}
	s.read(&e.values, value)
	checkScope(e, s, o.Value())
}

// checkScope rejects an exception that names something the setting does not
// depend on, since it could not take effect as written.
func checkScope(e *Exception, s *setting, place yamlread.Value) {
	switch {
	case e.Customer == "" && e.Service == "":
		place.Fail("must name a customer, a service or both; settings of the whole fleet belong to defaults")
	case s.scope == scopeCustomer && e.Service != "":
		place.Fail("%s holds for a customer at all services; name a customer only", s.name)
	case s.scope == scopeService && e.Customer != "":
		place.Fail("%s holds for a service and all customers; name a service only", s.name)
	}
}

// checkAmbiguity reports pairs of exceptions that set the same setting of the
// same customer at the same service with equal strength.
func (l *loader) checkAmbiguity() {
	for j := range l.config.Exceptions {
		for i := range j {
			if l.ambiguous(i, j) {
				l.exceptionPlaces[j].Fail("is ambiguous with exceptions[%d]: both set %s of the same requests",
					i, l.config.Exceptions[j].Setting)
			}
		}
	}
}

func (l *loader) ambiguous(i, j int) bool {
	a, b := &l.config.Exceptions[i], &l.config.Exceptions[j]
	if a.Setting == "" || a.Setting != b.Setting {
		return false
	}
	if a.Customer == b.Customer && a.Service == b.Service {
		return true
	}
	if a.specific() || b.specific() {
		return false
	}
	// One names a customer and the other a service, or both name different rows.
	customer, service := a.Customer+b.Customer, a.Service+b.Service
	crossing := (a.Customer == "") != (b.Customer == "") && (a.Service == "") != (b.Service == "")
	return crossing && l.callable(customer, service) && !l.settled(a.Setting, customer, service)
}

// callable reports whether a customer may call a service. Exceptions that meet
// at a pair that never occurs do no harm.
func (l *loader) callable(customer, service string) bool {
	row := l.config.Customer(customer)
	return row != nil && row.MayCall(service)
}

// settled reports whether an exception names exactly this customer and service.
func (l *loader) settled(s Setting, customer, service string) bool {
	for i := range l.config.Exceptions {
		e := &l.config.Exceptions[i]
		if e.Setting == s && e.Customer == customer && e.Service == service {
			return true
		}
	}
	return false
}
