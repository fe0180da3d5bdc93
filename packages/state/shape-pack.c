#include "state.h"

#include <string.h>

/*
 * Packing shapes is a bin packing problem, solved here by a best-fit decreasing heuristic: the
 * strictest adjacency and the largest shape first, each on the worker or rack with the least
 * free accelerators that fits it. A packing that it finds is valid, but it can miss one that
 * exists, so callers may refuse a set of shapes that would fit and never accept one that
 * doesn't.
 */

/* Allocate accelerators of a worker to a shape. */
static void allocate(struct pack_worker *workers, uint32_t worker, uint32_t n, uint32_t shape,
	GArray *allocations)
{
	struct pack_allocation allocation = {
		.shape = shape, .worker = worker, .accelerators = n};

	workers[worker].free -= n;
	g_array_append_val(allocations, allocation);
}

/* Return the worker with the fewest free accelerators, but at least n; -1 for none. */
static int best_fit_worker(const struct pack_worker *workers, size_t len, uint32_t n)
{
	int best = -1;

	for (size_t i = 0; i < len; i++) {
		if (workers[i].free >= n && (best < 0 || workers[i].free < workers[best].free))
			best = (int)i;
	}
	return best;
}

/* Return the number of free accelerators of a rack. */
static uint32_t rack_free(const struct pack_worker *workers, size_t len, uint32_t rack)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < len; i++)
		sum += workers[i].rack == rack ? workers[i].free : 0;
	return sum;
}

/*
 * Allocate n accelerators on the workers of a rack, or of all racks if rack is -1. Takes the
 * worker with the most free first; what is left at the end goes to the worker that it fits
 * best. The caller has checked that n are free.
 */
static void allocate_across_workers(struct pack_worker *workers, size_t len, int rack,
	uint32_t n, uint32_t shape, GArray *allocations)
{
	while (n > 0) {
		int best = -1;
		uint32_t count;

		for (size_t i = 0; i < len; i++) {
			if (rack >= 0 && workers[i].rack != (uint32_t)rack)
				continue;
			if (best < 0 || workers[i].free > workers[best].free)
				best = (int)i;
		}
		count = MIN(n, workers[best].free);
		if (count == n) {
			for (size_t i = 0; i < len; i++) {
				if ((rack < 0 || workers[i].rack == (uint32_t)rack) &&
					workers[i].free >= n &&
					workers[i].free < workers[best].free)
					best = (int)i;
			}
		}
		allocate(workers, (uint32_t)best, count, shape, allocations);
		n -= count;
	}
}

/*
 * Allocate one shape and append its allocations; false, without a change, where it doesn't fit.
 */
bool pack_one(const struct pack_shape *shape, uint32_t index, struct pack_worker *workers,
	size_t workers_len, GArray *allocations)
{
	int best = best_fit_worker(workers, workers_len, shape->accelerators);
	uint32_t best_free = 0;
	uint32_t total = 0;
	int rack = -1;

	if (best >= 0) {
		allocate(workers, (uint32_t)best, shape->accelerators, index, allocations);
		return true;
	}
	if (shape->adjacency == ADJACENCY_WORKER)
		return false;
	for (size_t i = 0; i < workers_len; i++) {
		uint32_t in_rack = rack_free(workers, workers_len, workers[i].rack);

		total += workers[i].free;
		if (in_rack >= shape->accelerators && (rack < 0 || in_rack < best_free)) {
			rack = (int)workers[i].rack;
			best_free = in_rack;
		}
	}
	if (rack < 0 && (shape->adjacency == ADJACENCY_RACK || total < shape->accelerators))
		return false;
	allocate_across_workers(
		workers, workers_len, rack, shape->accelerators, index, allocations);
	return true;
}

/* Sort by the strictest adjacency, then by the most accelerators, then by index. */
static int compare_shapes(const void *a, const void *b, void *arg)
{
	const struct pack_shape *shapes = arg;
	const struct pack_shape *x = &shapes[*(const uint32_t *)a];
	const struct pack_shape *y = &shapes[*(const uint32_t *)b];

	if (x->adjacency != y->adjacency)
		return x->adjacency > y->adjacency ? -1 : 1;
	if (x->accelerators != y->accelerators)
		return x->accelerators > y->accelerators ? -1 : 1;
	return *(const uint32_t *)a < *(const uint32_t *)b ? -1 : 1;
}

/*
 * Pack all shapes and return how many fit. *first_failed is set to the index of the first shape
 * in packing order that does not.
 */
size_t pack_all(const struct pack_shape *shapes, size_t shapes_len, struct pack_worker *workers,
	size_t workers_len, GArray *allocations, uint32_t *first_failed)
{
	GArray *order = g_array_sized_new(FALSE, FALSE, sizeof(uint32_t), (guint)shapes_len);
	size_t placed = 0;

	for (uint32_t i = 0; i < shapes_len; i++)
		g_array_append_val(order, i);
	g_array_sort_with_data(order, compare_shapes, (gpointer)shapes);
	for (guint i = 0; i < order->len; i++) {
		uint32_t at = g_array_index(order, uint32_t, i);

		if (pack_one(&shapes[at], at, workers, workers_len, allocations))
			placed++;
		else if (placed == i)
			*first_failed = at;
	}
	g_array_unref(order);
	return placed;
}
