#include "base.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Abort the process if an allocation failed. */
static void *check_alloc(void *p)
{
	if (p == NULL)
		abort();
	return p;
}

/* Allocate memory; never returns NULL, also for size 0. */
void *xmalloc(size_t size)
{
	return check_alloc(malloc(size ? size : 1));
}

/* Allocate zeroed memory; never returns NULL, also for size 0. */
void *xcalloc(size_t count, size_t size)
{
	return check_alloc(calloc(count ? count : 1, size ? size : 1));
}

/* Resize an array; never returns NULL, also for size 0. */
void *xreallocarray(void *ptr, size_t count, size_t size)
{
	return check_alloc(reallocarray(ptr, count ? count : 1, size ? size : 1));
}

/* Duplicate a string; returns NULL only for NULL. */
char *xstrdup(const char *s)
{
	if (s == NULL)
		return NULL;
	return check_alloc(strdup(s));
}

/* Format into a newly allocated string. */
void xasprintf(char **out, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (vasprintf(out, fmt, ap) < 0)
		abort();
	va_end(ap);
}

/* Free the memory that *p points to and set *p to NULL; for the cleanup attribute. */
void xfreep(void *p)
{
	void **ptr = p;

	free(*ptr);
	*ptr = NULL;
}
