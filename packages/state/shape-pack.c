#include "state.h"

#include <string.h>

/*
 * Packing shapes is a bin packing problem; we take the tightest adjacency and the largest
 * shape first and the fullest place that still fits. Where it finds a packing there is one;
 * where it finds none there may still be one, so a caller that refuses errs to the safe side.
 */

/* Take accelerators from a worker. */
static void take(struct pack_worker *workers, uint32_t worker, uint32_t n, uint32_t shape,
	GArray *pieces)
{
	struct pack_piece piece = {.shape = shape, .worker = worker, .accelerators = n};

	workers[worker].free -= n;
	g_array_append_val(pieces, piece);
}

/* The worker with the least room that has n free; -1 for none. */
static int tightest_worker(const struct pack_worker *workers, size_t len, uint32_t n)
{
	int best = -1;

	for (size_t i = 0; i < len; i++) {
		if (workers[i].free >= n && (best < 0 || workers[i].free < workers[best].free))
			best = (int)i;
	}
	return best;
}

/* Free accelerators of a rack. */
static uint32_t rack_free(const struct pack_worker *workers, size_t len, uint32_t rack)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < len; i++)
		sum += workers[i].rack == rack ? workers[i].free : 0;
	return sum;
}

/* Take n from the workers of a rack, or of all racks, the roomiest first. */
static void take_spread(struct pack_worker *workers, size_t len, int rack, uint32_t n,
	uint32_t shape, GArray *pieces)
{
	while (n > 0) {
		int best = -1;
		uint32_t part;

		for (size_t i = 0; i < len; i++) {
			if (rack >= 0 && workers[i].rack != (uint32_t)rack)
				continue;
			if (best < 0 || workers[i].free > workers[best].free)
				best = (int)i;
		}
		part = MIN(n, workers[best].free);
		if (part == n) {
			for (size_t i = 0; i < len; i++) {
				if ((rack < 0 || workers[i].rack == (uint32_t)rack) &&
					workers[i].free >= n &&
					workers[i].free < workers[best].free)
					best = (int)i;
			}
		}
		take(workers, (uint32_t)best, part, shape, pieces);
		n -= part;
	}
}

/* Find a place for one shape and take it; pieces are appended. */
bool pack_one(const struct pack_shape *shape, uint32_t index, struct pack_worker *workers,
	size_t workers_len, GArray *pieces)
{
	int best = tightest_worker(workers, workers_len, shape->accelerators);
	uint32_t best_free = 0;
	uint32_t total = 0;
	int rack = -1;

	if (best >= 0) {
		take(workers, (uint32_t)best, shape->accelerators, index, pieces);
		return true;
	}
	if (shape->adjacency == ADJACENCY_WORKER)
		return false;
	for (size_t i = 0; i < workers_len; i++) {
		uint32_t room = rack_free(workers, workers_len, workers[i].rack);

		total += workers[i].free;
		if (room >= shape->accelerators && (rack < 0 || room < best_free)) {
			rack = (int)workers[i].rack;
			best_free = room;
		}
	}
	if (rack < 0 && (shape->adjacency == ADJACENCY_RACK || total < shape->accelerators))
		return false;
	take_spread(workers, workers_len, rack, shape->accelerators, index, pieces);
	return true;
}

/* Tight adjacency first, then the large. */
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
 * Pack all shapes; returns how many found a place. *first_failed is the index of the first
 * that did not.
 */
size_t pack_all(const struct pack_shape *shapes, size_t shapes_len, struct pack_worker *workers,
	size_t workers_len, GArray *pieces, uint32_t *first_failed)
{
	GArray *order = g_array_sized_new(FALSE, FALSE, sizeof(uint32_t), (guint)shapes_len);
	size_t placed = 0;

	for (uint32_t i = 0; i < shapes_len; i++)
		g_array_append_val(order, i);
	g_array_sort_with_data(order, compare_shapes, (gpointer)shapes);
	for (guint i = 0; i < order->len; i++) {
		uint32_t at = g_array_index(order, uint32_t, i);

		if (pack_one(&shapes[at], at, workers, workers_len, pieces))
			placed++;
		else if (placed == i)
			*first_failed = at;
	}
	g_array_unref(order);
	return placed;
}
