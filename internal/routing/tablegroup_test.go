package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTableGroup(t *testing.T) {
	for statement, wantGroup := range map[string]uint64{
		"select * from sales_17.orders":              17,
		"select * from catalog.sales_17.orders":      17,
		"select * from sales_17.orders.price":        0, // catalog.schema.table: the schema is orders
		`select * from "sales_17".orders`:            17,
		"select a from staging_3.t, sales_4.t":       4,
		"select 'sales_17.orders' -- sales_18.t":     0,
		"/* sales_1.t /* sales_2.t */ */ sales_3.t":  3,
		"select sales_17 from orders":                0,
		"select * from sales_1234567890123456.t":     0, // more than maxGroupDigits digits
		"select * from sales_x1.t, _5.t, sales_06.t": 6,
	} {
		require.Equal(t, wantGroup, TableGroup(statement), statement)
	}
}
