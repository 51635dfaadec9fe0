package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// plannedRouters is the number of routers that the capacity plan assumes.
const plannedRouters = 30

// sampleShard returns a ledger shard in steady use: each budget has grants of two holders and the
// ids of its last top-ups, and each router has written the shard.
func sampleShard(budgets, topUps int) *table.ShardContent {
	c := &table.ShardContent{}
	for i := range budgets {
		budget := table.LedgerBudget{
			ID:        table.BudgetID(fmt.Sprintf("customer-%04d/shop-%06d", i%310, i)),
			Deposited: 10_000_000, Settled: 2_500_000,
		}
		for h := range 2 {
			budget.Grants = append(budget.Grants, table.LedgerGrant{Holder: sampleHolder(i + h), Amount: 50_000, Settled: 120_000})
		}
		for t := range topUps {
			budget.TopUps = append(budget.TopUps, fmt.Sprintf("topup-%08d-%04d", i, t))
		}
		c.Budgets = append(c.Budgets, budget)
	}
	for i := range plannedRouters {
		c.Writers = append(c.Writers, table.LedgerWriter{Holder: sampleHolder(i), Sequence: 12_345})
	}
	return c
}

func sampleHolder(i int) table.Holder {
	return table.Holder{
		Process:     table.ProcessID(fmt.Sprintf("router-%02d", i%plannedRouters)),
		Incarnation: table.Incarnation(uint64(1)<<63 + uint64(i%plannedRouters)),
	}
}

// BenchmarkLedgerShard measures encoding and decoding of a ledger shard for several numbers of
// budgets, with one stored top-up id each.
func BenchmarkLedgerShard(b *testing.B) {
	for _, n := range []int{10, 100, 308, 1_000, 3_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) { benchmarkShardCodec(b, sampleShard(n, 1)) })
	}
}

// BenchmarkLedgerShardTopUps measures a shard of the planned size for several numbers of top-up
// ids per budget.
func BenchmarkLedgerShardTopUps(b *testing.B) {
	for _, n := range []int{0, 1, 8, 32} {
		b.Run(fmt.Sprintf("topups=%d", n), func(b *testing.B) { benchmarkShardCodec(b, sampleShard(308, n)) })
	}
}

// BenchmarkLedgerShardWriters measures a shard of the planned size for several numbers of
// incarnations that have written it.
func BenchmarkLedgerShardWriters(b *testing.B) {
	for _, n := range []int{30, 300, 3_000, 7_300} {
		b.Run(fmt.Sprintf("writers=%d", n), func(b *testing.B) {
			c := sampleShard(308, 1)
			for i := len(c.Writers); i < n; i++ {
				h := sampleHolder(i)
				h.Incarnation += table.Incarnation(i)
				c.Writers = append(c.Writers, table.LedgerWriter{Holder: h, Sequence: 12_345})
			}
			benchmarkShardCodec(b, c)
		})
	}
}

// benchmarkShardCodec measures encoding and decoding of a shard and reports its encoded size.
func benchmarkShardCodec(b *testing.B, c *table.ShardContent) {
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		value, err := json.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		var decoded table.ShardContent
		if err := json.Unmarshal(value, &decoded); err != nil {
			b.Fatal(err)
		}
		size = len(value)
	}
	b.ReportMetric(float64(size), "value-B")
}
