#include "base.h"

#include <stdlib.h>
#include <sys/random.h>

/* Fill a buffer with random bytes from the kernel; abort if there are none. */
void random_bytes(void *out, size_t len)
{
	if (getrandom(out, len, 0) != (ssize_t)len)
		abort();
}

/* Return a random 64-bit number from the kernel. */
uint64_t random_u64(void)
{
	uint64_t v;

	random_bytes(&v, sizeof(v));
	return v;
}

/* Return random bytes as hexadecimal text; the caller frees it. */
char *random_hex(size_t bytes)
{
	static const char digits[] = "0123456789abcdef";
	char *out = xmalloc(2 * bytes + 1);

	random_bytes(out, bytes);
	out[2 * bytes] = '\0';
	for (size_t i = bytes; i-- > 0;) {
		unsigned char v = (unsigned char)out[i];

		out[2 * i] = digits[v >> 4];
		out[2 * i + 1] = digits[v & 15];
	}
	return out;
}
