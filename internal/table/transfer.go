package table

// TransferDenial says that a router had too few tokens for a transfer. It is not
// asked again before Until.
type TransferDenial struct {
	Holder Holder
	Until  Instant
}

// TransferKey identifies a router's request for a transfer.
type TransferKey struct {
	Process  ProcessID
	Customer CustomerID
}

// PendingTransfer is another router's request for a transfer that waits until the
// ledger raises this router's limit.
type PendingTransfer struct {
	From Holder
	// Request is the client's request that waits for it.
	Request   RequestID
	Need      Tokens
	Want      Tokens
	ExpiresAt Instant
}
