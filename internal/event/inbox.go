package event

// AddTo implements Event.
func (e Arrival) AddTo(in *Inbox) { in.Arrivals = append(in.Arrivals, e) }

// AddTo implements Event.
func (e CallerDisconnect) AddTo(in *Inbox) { in.CallerDisconnects = append(in.CallerDisconnects, e) }

// AddTo implements Event.
func (e Cancel) AddTo(in *Inbox) { in.Cancels = append(in.Cancels, e) }

// AddTo implements Event.
func (e KeyIssueRequest) AddTo(in *Inbox) { in.KeyIssueRequests = append(in.KeyIssueRequests, e) }

// AddTo implements Event.
func (e FirstToken) AddTo(in *Inbox) { in.FirstTokens = append(in.FirstTokens, e) }

// AddTo implements Event.
func (e AttemptProgress) AddTo(in *Inbox) { in.AttemptProgress = append(in.AttemptProgress, e) }

// AddTo implements Event.
func (e AttemptEnd) AddTo(in *Inbox) { in.AttemptEnds = append(in.AttemptEnds, e) }

// AddTo implements Event.
func (e SessionOpened) AddTo(in *Inbox) { in.SessionsOpened = append(in.SessionsOpened, e) }

// AddTo implements Event.
func (e SessionClosed) AddTo(in *Inbox) { in.SessionsClosed = append(in.SessionsClosed, e) }

// AddTo implements Event.
func (e Heartbeat) AddTo(in *Inbox) { in.Heartbeats = append(in.Heartbeats, e) }

// AddTo implements Event.
func (e Crash) AddTo(in *Inbox) { in.Crashes = append(in.Crashes, e) }

// AddTo implements Event.
func (e MemberList) AddTo(in *Inbox) { in.MemberLists = append(in.MemberLists, e) }

// AddTo implements Event.
func (e ProcessList) AddTo(in *Inbox) { in.ProcessLists = append(in.ProcessLists, e) }

// AddTo implements Event.
func (e ShardReadResult) AddTo(in *Inbox) { in.ShardReadResults = append(in.ShardReadResults, e) }

// AddTo implements Event.
func (e ShardWriteResult) AddTo(in *Inbox) { in.ShardWriteResults = append(in.ShardWriteResults, e) }

// AddTo implements Event.
func (e ClaimResult) AddTo(in *Inbox) { in.ClaimResults = append(in.ClaimResults, e) }

// AddTo implements Event.
func (e FenceList) AddTo(in *Inbox) { in.FenceLists = append(in.FenceLists, e) }

// AddTo implements Event.
func (e FenceListWriteResult) AddTo(in *Inbox) {
	in.FenceListWriteResults = append(in.FenceListWriteResults, e)
}

// AddTo implements Event.
func (e QuarantineList) AddTo(in *Inbox) { in.QuarantineLists = append(in.QuarantineLists, e) }

// AddTo implements Event.
func (e ConfigReceived) AddTo(in *Inbox) { in.Configs = append(in.Configs, e) }

// AddTo implements Event.
func (e PlatformState) AddTo(in *Inbox) { in.PlatformStates = append(in.PlatformStates, e) }

// AddTo implements Event.
func (e Registered) AddTo(in *Inbox) { in.Registrations = append(in.Registrations, e) }

// AddTo implements Event.
func (e SliceRequest) AddTo(in *Inbox) { in.SliceRequests = append(in.SliceRequests, e) }

// AddTo implements Event.
func (e SliceGrant) AddTo(in *Inbox) { in.SliceGrants = append(in.SliceGrants, e) }

// AddTo implements Event.
func (e SliceReport) AddTo(in *Inbox) { in.SliceReports = append(in.SliceReports, e) }

// AddTo implements Event.
func (e KeyRecord) AddTo(in *Inbox) { in.KeyRecords = append(in.KeyRecords, e) }

// AddTo implements Event.
func (e KeyQuery) AddTo(in *Inbox) { in.KeyQueries = append(in.KeyQueries, e) }

// AddTo implements Event.
func (e KeyResult) AddTo(in *Inbox) { in.KeyResults = append(in.KeyResults, e) }

// AddTo implements Event.
func (e Lookup) AddTo(in *Inbox) { in.Lookups = append(in.Lookups, e) }

// AddTo implements Event.
func (e LookupResult) AddTo(in *Inbox) { in.LookupResults = append(in.LookupResults, e) }

// AddTo implements Event.
func (e Dispatch) AddTo(in *Inbox) { in.Dispatches = append(in.Dispatches, e) }

// AddTo implements Event.
func (e RunCancel) AddTo(in *Inbox) { in.RunCancels = append(in.RunCancels, e) }

// AddTo implements Event.
func (e RunProgress) AddTo(in *Inbox) { in.RunProgress = append(in.RunProgress, e) }

// AddTo implements Event.
func (e RunEnd) AddTo(in *Inbox) { in.RunEnds = append(in.RunEnds, e) }

// AddTo implements Event.
func (e EngineReport) AddTo(in *Inbox) { in.EngineReports = append(in.EngineReports, e) }

// AddTo implements Event.
func (e Fence) AddTo(in *Inbox) { in.Fences = append(in.Fences, e) }

// AddTo implements Event.
func (e FenceResult) AddTo(in *Inbox) { in.FenceResults = append(in.FenceResults, e) }

// AddTo implements Event.
func (e TopUp) AddTo(in *Inbox) { in.TopUps = append(in.TopUps, e) }

// AddTo implements Event.
func (e BudgetQuery) AddTo(in *Inbox) { in.BudgetQueries = append(in.BudgetQueries, e) }

// AddTo implements Event.
func (e StatusQuery) AddTo(in *Inbox) { in.StatusQueries = append(in.StatusQueries, e) }

// AddTo implements Event.
func (e WhereQuery) AddTo(in *Inbox) { in.WhereQueries = append(in.WhereQueries, e) }

// AddTo implements Event.
func (e ExplainQuery) AddTo(in *Inbox) { in.ExplainQueries = append(in.ExplainQueries, e) }

// AddTo implements Event.
func (e DrainOrder) AddTo(in *Inbox) { in.DrainOrders = append(in.DrainOrders, e) }

// AddTo implements Event.
func (e Shutdown) AddTo(in *Inbox) { in.Shutdowns = append(in.Shutdowns, e) }
