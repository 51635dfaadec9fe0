package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"laburnumroad.dev/laburnumroad/internal/table"
)

const planRouters = 30

// capacityShard is a ledger shard in steady use: each budget has two holders
// and its last top-ups, and each router has written.
func capacityShard(budgets, topUps int) *table.ShardContent {
	c := &table.ShardContent{}
	for i := range budgets {
		row := table.LedgerBudget{
			ID:        table.BudgetID(fmt.Sprintf("customer-%04d/shop-%06d", i%310, i)),
			Deposited: 10_000_000, Settled: 2_500_000,
		}
		for h := range 2 {
			row.Grants = append(row.Grants, table.LedgerGrant{Holder: capacityHolder(i + h), Amount: 50_000, Settled: 120_000})
		}
		for t := range topUps {
			row.TopUps = append(row.TopUps, fmt.Sprintf("topup-%08d-%04d", i, t))
		}
		c.Budgets = append(c.Budgets, row)
	}
	for i := range planRouters {
		c.Writers = append(c.Writers, table.LedgerWriter{Holder: capacityHolder(i), Sequence: 12_345})
	}
	return c
}

func capacityHolder(i int) table.Holder {
	return table.Holder{
		Process:     table.ProcessID(fmt.Sprintf("router-%02d", i%planRouters)),
		Incarnation: table.Incarnation(uint64(1)<<63 + uint64(i%planRouters)),
	}
}

// BenchmarkLedgerShard measures the encoding and decoding of a ledger shard
// over its budgets, with one remembered top-up each.
func BenchmarkLedgerShard(b *testing.B) {
	for _, n := range []int{10, 100, 308, 1_000, 3_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) { benchShard(b, capacityShard(n, 1)) })
	}
}

// BenchmarkLedgerShardTopUps measures a shard of the planned size over the
// top-up ids that each budget remembers.
func BenchmarkLedgerShardTopUps(b *testing.B) {
	for _, n := range []int{0, 1, 8, 32} {
		b.Run(fmt.Sprintf("topups=%d", n), func(b *testing.B) { benchShard(b, capacityShard(308, n)) })
	}
}

// BenchmarkLedgerShardWriters measures a shard of the planned size over the
// incarnations that have written it.
func BenchmarkLedgerShardWriters(b *testing.B) {
	for _, n := range []int{30, 300, 3_000, 7_300} {
		b.Run(fmt.Sprintf("writers=%d", n), func(b *testing.B) {
			c := capacityShard(308, 1)
			for i := len(c.Writers); i < n; i++ {
				h := capacityHolder(i)
				h.Incarnation += table.Incarnation(i)
				c.Writers = append(c.Writers, table.LedgerWriter{Holder: h, Sequence: 12_345})
			}
			benchShard(b, c)
		})
	}
}

func benchShard(b *testing.B, c *table.ShardContent) {
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		value, err := json.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		var back table.ShardContent
		if err := json.Unmarshal(value, &back); err != nil {
			b.Fatal(err)
		}
		size = len(value)
	}
	b.ReportMetric(float64(size), "value-B")
}
