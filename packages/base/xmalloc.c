#include "base.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* End the process when memory has run out. */
static void *check(void *p)
{
	if (p == NULL)
		abort();
	return p;
}

/* Allocate; never returns NULL. */
void *xmalloc(size_t size)
{
	return check(malloc(size ? size : 1));
}

/* Allocate zeroed memory; never returns NULL. */
void *xcalloc(size_t count, size_t size)
{
	return check(calloc(count ? count : 1, size ? size : 1));
}

/* Resize an array; never returns NULL. */
void *xreallocarray(void *ptr, size_t count, size_t size)
{
	return check(reallocarray(ptr, count ? count : 1, size ? size : 1));
}

/* Copy a string; NULL stays NULL. */
char *xstrdup(const char *s)
{
	if (s == NULL)
		return NULL;
	return check(strdup(s));
}

/* Print to a new string. */
void xasprintf(char **out, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (vasprintf(out, fmt, ap) < 0)
		abort();
	va_end(ap);
}

/* Free what a pointer variable holds; for the cleanup attribute. */
void xfreep(void *p)
{
	void **ptr = p;

	free(*ptr);
	*ptr = NULL;
}
