#include "http-private.h"

#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

/*
 * The body of a request while it is received. A small one lies in an allocated buffer. A larger
 * one lies in a mapping of the largest size, of which only the pages that are written to take
 * memory: it grows without being copied, and its memory returns to the system when it is freed.
 */

#define SMALL_MAX  ((size_t)16 * 1024)
#define SMALL_STEP ((size_t)4 * 1024)
#define LARGE_STEP ((size_t)16 * 1024) /* a multiple of the page size */

static size_t round_up(size_t n, size_t step)
{
	return (n + step - 1) / step * step;
}

/* Moves a body to a mapping for max bytes and a NUL. */
static bool map_body(struct http_body *b, size_t max)
{
	size_t size = round_up(max + 1, LARGE_STEP);
	void *data = mmap(NULL, size, PROT_READ | PROT_WRITE,
		MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);

	if (data == MAP_FAILED)
		return false;
	if (b->len > 0)
		memcpy(data, b->data, b->len);
	free(b->data);
	b->data = data;
	b->mapped = size;
	return true;
}

/* Makes room for size bytes, after taking them from the budget. */
static bool reserve(struct http_body *b, size_t size, size_t declared, size_t max,
	body_take_fn *take, void *arg)
{
	bool large = size > SMALL_MAX;
	size_t capacity = round_up(size, large ? LARGE_STEP : SMALL_STEP);

	if (size <= b->capacity)
		return true;
	if (!large && declared >= size - 1 && declared < SMALL_MAX)
		capacity = declared + 1;
	if (!take(arg, capacity - b->capacity, large))
		return false;
	b->charged += capacity - b->capacity;
	if (large && b->mapped == 0 && !map_body(b, max))
		return false;
	if (!large)
		b->data = xreallocarray(b->data, capacity, 1);
	b->capacity = capacity;
	return true;
}

/*
 * Appends to a body of at most max bytes, which the caller checks, and ends it with a NUL that
 * its length doesn't count. declared is its length by its header, or 0.
 */
bool body_append(struct http_body *b, const void *data, size_t n, size_t declared, size_t max,
	body_take_fn *take, void *arg)
{
	if (!reserve(b, b->len + n + 1, declared, max, take, arg))
		return false;
	if (n > 0)
		memcpy(b->data + b->len, data, n);
	b->len += n;
	b->data[b->len] = '\0';
	return true;
}

/* Frees a body and gives its memory back to the budget, which may be NULL. */
void body_clear(struct http_body *b, struct budget *budget)
{
	if (b->mapped > 0)
		munmap(b->data, b->mapped);
	else
		free(b->data);
	if (budget != NULL)
		budget_give_back(budget, b->charged);
	*b = (struct http_body){0};
}
