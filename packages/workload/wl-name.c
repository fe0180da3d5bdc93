#include "wl-private.h"

/*
 * Interned names of services, racks and labels: equal names are equal pointers, which makes
 * comparing them cheap where each pass compares thousands.
 */

void name_free(void *name)
{
	if (name != NULL)
		g_ref_string_release(name);
}

void name_set(char **to, const char *from)
{
	char *old = *to;

	if (from != NULL && old != NULL && strcmp(old, from) == 0)
		return;
	*to = from != NULL ? g_ref_string_new_intern(from) : NULL;
	name_free(old);
}
