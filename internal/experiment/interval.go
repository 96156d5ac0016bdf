package experiment

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Interval is the mean of a sample with its 95% bootstrap confidence interval, in the sample's unit.
type Interval struct {
	Mean  float64 `json:"mean"`
	Lower float64 `json:"lo"`
	Upper float64 `json:"hi"`
	Count int     `json:"n"` // number of values in the sample
}

// resampleCount is the number of resampled means from which the confidence interval is computed.
const resampleCount = 4000

// Bootstrap returns the mean of a sample with its bootstrap confidence interval. Its random stream depends only on the size
// of the sample, so that the same results always give the same table.
func Bootstrap(sample []float64) Interval {
	if len(sample) == 0 {
		return Interval{}
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(sample))))
	means, resample := make([]float64, resampleCount), make([]float64, len(sample))
	for i := range means {
		for k := range resample {
			resample[k] = sample[rng.IntN(len(sample))]
		}
		means[i] = stat.Mean(resample, nil)
	}
	slices.Sort(means)
	return Interval{
		Mean:  stat.Mean(sample, nil),
		Lower: stat.Quantile(0.025, stat.Empirical, means, nil),
		Upper: stat.Quantile(0.975, stat.Empirical, means, nil),
		Count: len(sample),
	}
}
