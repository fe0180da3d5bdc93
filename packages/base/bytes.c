#include "base.h"

#include <stdlib.h>
#include <string.h>

/* Copy bytes and append a NUL that len does not count, so that text is usable as a C string. */
struct bytes bytes_copy(const void *data, size_t len)
{
	struct bytes b = {.data = xmalloc(len + 1), .len = len};

	if (len > 0)
		memcpy(b.data, data, len);
	((char *)b.data)[len] = '\0';
	return b;
}

/* Free the data and reset the value to empty. */
void bytes_clear(struct bytes *b)
{
	free(b->data);
	b->data = NULL;
	b->len = 0;
}
