#include "base.h"

#include <stdlib.h>
#include <string.h>

/* Copy bytes; a zero byte follows them, so that text can be used as a string. */
struct bytes bytes_copy(const void *data, size_t len)
{
	struct bytes b = {.data = xmalloc(len + 1), .len = len};

	if (len > 0)
		memcpy(b.data, data, len);
	((char *)b.data)[len] = '\0';
	return b;
}

/* Free the bytes and leave an empty value. */
void bytes_clear(struct bytes *b)
{
	free(b->data);
	b->data = NULL;
	b->len = 0;
}
