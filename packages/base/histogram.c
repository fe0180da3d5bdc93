#include "base.h"

#include <inttypes.h>

/*
 * Upper bounds of the histogram buckets, in seconds: in steps of 1, 2 and 5 up to 20, and then
 * 60. A quantile is known only to lie between two neighbouring bounds, which are a factor of 2
 * to 3 apart; a duration above 60 s has no upper bound. All histograms have the same bounds, so
 * that those of several processes can be added up.
 */
static const double bucket_bounds[HISTOGRAM_BOUNDS] = {
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60};

static SLIST_HEAD(, histogram) histograms = SLIST_HEAD_INITIALIZER(histograms);

/* Register a histogram. Not thread-safe: call it before any thread is started. */
void histogram_register(struct histogram *h)
{
	SLIST_INSERT_HEAD(&histograms, h, entry);
}

/* Record a duration in nanoseconds; may be called from any thread. */
void histogram_add(struct histogram *h, int64_t duration_ns)
{
	double seconds = (double)duration_ns / (double)NSEC_PER_SEC;
	size_t i = 0;

	while (i < HISTOGRAM_BOUNDS && seconds > bucket_bounds[i])
		i++;
	__atomic_fetch_add(&h->counts[i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(
		&h->sum, duration_ns > 0 ? (uint64_t)duration_ns : 0, __ATOMIC_RELAXED);
}

/* Append all histograms in the Prometheus text exposition format. */
void histogram_render(GString *out)
{
	const struct histogram *h;

	SLIST_FOREACH(h, &histograms, entry)
	{
		uint64_t total = 0;

		g_string_append_printf(
			out, "# HELP %s %s\n# TYPE %s histogram\n", h->name, h->help, h->name);
		for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++) {
			total += __atomic_load_n(&h->counts[i], __ATOMIC_RELAXED);
			g_string_append_printf(out, "%s_bucket{le=\"%g\"} %" PRIu64 "\n",
				h->name, bucket_bounds[i], total);
		}
		total += __atomic_load_n(&h->counts[HISTOGRAM_BOUNDS], __ATOMIC_RELAXED);
		g_string_append_printf(out,
			"%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %.6f\n%s_count %" PRIu64
			"\n",
			h->name, total, h->name,
			(double)__atomic_load_n(&h->sum, __ATOMIC_RELAXED) /
				(double)NSEC_PER_SEC,
			h->name, total);
	}
}
