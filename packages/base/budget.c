#include "base.h"

#include <stdlib.h>

/*
 * A memory budget that the parts of a process share: what clients can make grow is taken from
 * it before the memory is allocated, so that the sum stays below a maximum.
 */

struct budget {
	size_t max;
	size_t used; /* atomic */
};

/* Creates a budget of max bytes. */
struct budget *budget_new(size_t max)
{
	struct budget *b = xcalloc(1, sizeof(*b));

	b->max = max;
	return b;
}

void budget_free(struct budget *b)
{
	free(b);
}

/* Takes n bytes; takes nothing and returns false if that many are not left. */
bool budget_take(struct budget *b, size_t n)
{
	size_t used = __atomic_load_n(&b->used, __ATOMIC_RELAXED);

	do {
		if (n > b->max || used > b->max - n)
			return false;
	} while (!__atomic_compare_exchange_n(
		&b->used, &used, used + n, true, __ATOMIC_RELAXED, __ATOMIC_RELAXED));
	return true;
}

/* Gives back n bytes that were taken. */
void budget_give_back(struct budget *b, size_t n)
{
	__atomic_fetch_sub(&b->used, n, __ATOMIC_RELAXED);
}

size_t budget_used(const struct budget *b)
{
	return __atomic_load_n(&b->used, __ATOMIC_RELAXED);
}

size_t budget_max(const struct budget *b)
{
	return b->max;
}
